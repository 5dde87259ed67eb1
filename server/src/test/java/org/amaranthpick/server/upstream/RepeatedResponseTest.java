package org.amaranthpick.server.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.server.EngineChain;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.time.SystemScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** A faulty upstream writes an earlier response once more, where the next one is expected. */
class RepeatedResponseTest {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int WAIT_SECONDS = 30;
    private static final String REFUSAL =
            response(
                    "503 Service Unavailable",
                    "{\"type\":\"refused\",\"upstream\":\"k/upstream/raw\",\"reason\":\"full\"}\n");
    private static final String ANSWER =
            response("200 OK", "{\"type\":\"finished\",\"reason\":\"stop\",\"tokens\":0}\n");

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");
    private final HttpUpstreamClient mClient =
            new HttpUpstreamClient(mWorker, mScheduler, UpstreamSettings.defaults());
    private final ServerSocket mListener = listen();

    RepeatedResponseTest() {
        Thread thread = new Thread(this::serve, "upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Refuses the first request; on the same connection, refuses it again after the second. */
    private void serve() {
        try {
            boolean first = true;
            while (true) {
                Socket socket = mListener.accept();
                if (first) {
                    first = false;
                    readRequest(socket.getInputStream());
                    write(socket, REFUSAL);
                    Thread repeats = new Thread(() -> repeat(socket), "repeat");
                    repeats.setDaemon(true);
                    repeats.start();
                } else {
                    readRequest(socket.getInputStream());
                    write(socket, ANSWER);
                }
            }
        } catch (IOException e) {
            sLogger.atFine().withCause(e).log("upstream: ended");
        }
    }

    private static void repeat(Socket socket) {
        try {
            readRequest(socket.getInputStream());
            write(socket, REFUSAL + ANSWER);
        } catch (IOException e) {
            sLogger.atFine().withCause(e).log("upstream: ended");
        }
    }

    private static void write(Socket socket, String response) throws IOException {
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a request; its length is in the head. */
    private static void readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            head.write(next);
        }
        Matcher length =
                Pattern.compile("(?i)content-length: *([0-9]+)")
                        .matcher(head.toString(StandardCharsets.US_ASCII));
        if (length.find()) {
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
    }

    private UpstreamSpec upstream(UpstreamSpec.Role role) {
        URI address = URI.create("http://127.0.0.1:" + mListener.getLocalPort());
        return EngineChain.upstream("first", role, address);
    }

    private ServiceReply post(String id) throws Exception {
        ServiceCall call =
                new ServiceCall(
                        id,
                        EngineChain.id(ResourceKind.WORKSPACE, "desk"),
                        "POST",
                        "/checkouts",
                        Map.of(),
                        new byte[] {1});
        return mClient.call(upstream(UpstreamSpec.Role.SERVICE), call)
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private StreamEnd generate(String id) throws InterruptedException {
        RecordingListener listener = new RecordingListener();
        Configuration configuration =
                EngineChain.configuration(List.of(upstream(UpstreamSpec.Role.ENGINE)));
        mClient.generate(configuration, EngineChain.call(id, 1, List.of()), listener);
        return listener.await();
    }

    @Test
    void aServiceCallGetsItsOwnAnswer() throws Exception {
        assertEquals(503, ((ServiceReply.Answered) post("r1")).status());
        assertEquals(200, ((ServiceReply.Answered) post("r2")).status());
    }

    @Test
    void aRequestThatRunsIsNotSaidToBeRefused() throws Exception {
        assertInstanceOf(StreamEnd.Refused.class, generate("r1"));
        assertInstanceOf(StreamEnd.Finished.class, generate("r2"));
    }

    @AfterEach
    void stop() throws IOException {
        mClient.close();
        mListener.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }
}
