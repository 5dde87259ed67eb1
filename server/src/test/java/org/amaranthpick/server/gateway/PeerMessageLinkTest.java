package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.core.type.TypeReference;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.register.HealthNote;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class PeerMessageLinkTest {
    private static final HealthNote NOTE =
            new HealthNote("host-1", 17, 3, "e-1", HealthNote.Kind.REFUSED);

    private final BlockingQueue<List<HealthNote>> mReceived = new LinkedBlockingQueue<>();
    private XnioWorker mWorker;
    private HttpConnector mConnector;
    private PeerMessageLink<HealthNote[]> mLink;
    private Undertow mListener;
    private int mPort;

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        mConnector =
                new HttpConnector(
                        mWorker,
                        new IoThreadScheduler(mWorker.getIoThread()),
                        new ConnectorSettings(2, 2, Duration.ofSeconds(5), Duration.ofSeconds(5)));
        mLink = new PeerMessageLink<>(mConnector, "/health-notes", new TypeReference<>() {});
        mLink.setReceiver(notes -> mReceived.add(List.of(notes)));
        mListener =
                Undertow.builder()
                        .setWorker(mWorker)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(mLink)
                        .build();
        mListener.start();
        mPort = ((InetSocketAddress) mListener.getListenerInfo().get(0).getAddress()).getPort();
    }

    @AfterEach
    void stop() {
        mListener.stop();
        mConnector.close();
        mWorker.shutdown();
    }

    private int post(String path, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    @Test
    void notesArriveAsSent() throws InterruptedException {
        mLink.send("127.0.0.1:" + mPort, new HealthNote[] {NOTE, NOTE});
        assertEquals(List.of(NOTE, NOTE), mReceived.poll(20, TimeUnit.SECONDS));
    }

    /** An object in the store may come from another writer. */
    @Test
    void anAddressThatIsNoneIsSkipped() throws InterruptedException {
        mLink.send("not an address", new HealthNote[] {NOTE});
        mLink.send("127.0.0.1:" + mPort, new HealthNote[] {NOTE});
        assertEquals(List.of(NOTE), mReceived.poll(20, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "{}",
                "[null]",
                "[{\"origin\":\"h\",\"upstreamId\":\"e\"}]",
                "[{\"origin\":\"h\",\"upstreamId\":\"e\",\"kind\":\"ODD\"}]"
            })
    void incompleteNotesAreRefused(String body) throws IOException, InterruptedException {
        assertEquals(400, post("/health-notes", body));
        assertNull(mReceived.poll());
    }

    @Test
    void unknownFieldsOfLaterVersionsAreIgnored() throws IOException, InterruptedException {
        String body =
                "[{\"origin\":\"host-1\",\"startedAtNs\":17,\"number\":3,\"upstreamId\":\"e-1\","
                        + "\"kind\":\"REFUSED\",\"later\":true}]";
        assertEquals(204, post("/health-notes", body));
        assertEquals(List.of(NOTE), mReceived.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void otherPathsAreNotServed() throws IOException, InterruptedException {
        assertEquals(404, post("/other", "[]"));
    }
}
