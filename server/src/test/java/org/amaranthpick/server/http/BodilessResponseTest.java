package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Responses whose status has no body were lost, or got one of bytes that are not theirs. */
class BodilessResponseTest {
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

    private XnioWorker mWorker;
    private HttpConnector mConnector;
    private RawServer mServer;

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        mConnector =
                new HttpConnector(
                        mWorker,
                        new IoThreadScheduler(mWorker.getIoThread()),
                        new ConnectorSettings(2, 2, Duration.ofSeconds(5), Duration.ofSeconds(60)));
        mServer = new RawServer();
    }

    @AfterEach
    void stop() throws IOException {
        mConnector.close();
        mServer.close();
        mWorker.shutdown();
    }

    private void assertComplete(int status, String body) throws Exception {
        BodyCollector.Reply reply = mServer.call(mConnector, "GET");
        assertInstanceOf(CallEnd.Complete.class, reply.end());
        assertEquals(status, reply.status());
        assertEquals(body, new String(reply.body(), StandardCharsets.ISO_8859_1));
    }

    private static int statusOf(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 No Content",
                "HTTP/1.1 204 No Content\r\nContent-Length: 0",
                "HTTP/1.1 304 Not Modified",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 0"
            })
    void keepsItsConnection(String head) throws Exception {
        mServer.respond(head + "\r\n\r\n").respond(WHOLE);
        assertComplete(statusOf(head), "");
        assertComplete(200, "hello");
        assertEquals(1, mServer.connections());
    }

    /** The server keeps the connection open and sends no more. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5",
                "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked",
                "HTTP/1.1 304 Not Modified\r\nConnection: close",
                "HTTP/1.1 204 No Content\r\nConnection: close",
                "HTTP/1.0 304 Not Modified",
                "HTTP/1.0 204 No Content",
                "HTTP/1.2 204 No Content"
            })
    void endsWithItsHead(String head) throws Exception {
        mServer.respond(head + "\r\n\r\n").respond(WHOLE);
        assertComplete(statusOf(head), "");
        assertComplete(200, "hello");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5",
                "HTTP/1.1 304 Not Modified",
                "HTTP/1.1 204 No Content",
                "HTTP/1.1 204 No Content\r\nConnection: close",
                "HTTP/1.0 204 No Content",
                "HTTP/1.0 304 Not Modified"
            })
    void hasNoBodyWhateverFollows(String head) throws Exception {
        mServer.respondAndClose(head + "\r\n\r\nhello").respond(WHOLE);
        assertComplete(statusOf(head), "");
        assertComplete(200, "hello");
        assertEquals(2, mServer.connections());
    }
}
