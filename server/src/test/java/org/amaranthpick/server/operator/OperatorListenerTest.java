package org.amaranthpick.server.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.InForceStatus;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionTrail;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class OperatorListenerTest {
    private static final String TOKEN = "operator-token-1234";

    private final FakeActions mActions = new FakeActions();
    private XnioWorker mWorker;
    private OperatorListener mListener;

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener = new OperatorListener(address, mWorker, TOKEN, mActions);
    }

    @AfterEach
    void stop() {
        mListener.close();
        mWorker.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/metrics", "/status", "/explain/r-1", "/in-force/1", "/drain"})
    void withoutTheTokenNothingIsTold(String path) throws IOException {
        assertTrue(ask("POST", path, "").startsWith("HTTP/1.1 401 "));
        assertTrue(ask("POST", path, "wrong").startsWith("HTTP/1.1 401 "));
        assertFalse(mActions.mDrained);
    }

    @ParameterizedTest
    @CsvSource({
        "GET,/live,200",
        "GET,/ready,200",
        "GET,/metrics,200",
        "GET,/explain/unknown,404",
        "GET,/in-force/x,400",
        "GET,/in-force/99999999999999999999,400",
        "GET,/drain,405",
        "POST,/drain,202",
        "GET,/nothing,404"
    })
    void statusOfEachPath(String method, String path, int status) throws IOException {
        String answer = ask(method, path, TOKEN);
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(status == 202, mActions.mDrained);
    }

    @Test
    void readinessFailsWithTheReason() throws IOException {
        mActions.mNotReady = Optional.of("draining");
        String answer = ask("GET", "/ready", "");
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("draining"), answer);
    }

    @Test
    void bodiesOfTheJsonPaths() throws IOException {
        StringBuilder bodies = new StringBuilder();
        for (String path : List.of("/status", "/explain/r-1", "/in-force/7")) {
            String answer = ask("GET", path, TOKEN);
            String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
            bodies.append(path).append('\n').append(body).append('\n');
        }
        Approvals.verify(bodies.toString());
    }

    private String ask(String method, String path, String token) throws IOException {
        InetSocketAddress address = mListener.address();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String credential = token.isEmpty() ? "" : "Authorization: Bearer " + token + "\r\n";
            String request =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                            + credential
                            + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static final class FakeActions implements OperatorActions {
        private Optional<String> mNotReady = Optional.empty();
        private volatile boolean mDrained;

        @Override
        public Optional<String> notReady() {
            return mNotReady;
        }

        @Override
        public String metrics() {
            return "metric 1\n";
        }

        @Override
        public DaemonStatus status() {
            return new DaemonStatus(
                    "kenanga/entry-1",
                    "kenanga/kl-a",
                    "serving",
                    7,
                    "abc",
                    3,
                    0,
                    List.of(
                            new DaemonStatus.MemberStatus(
                                    "kenanga/entry-1", "kenanga/kl-a", "alive")),
                    List.of(
                            new DaemonStatus.UpstreamState(
                                    "kenanga/engine-1", "reachable", false, 2, 40)));
        }

        @Override
        public List<DecisionTrail.Entry> explain(String subject) {
            return subject.equals("r-1")
                    ? List.of(
                            new DecisionTrail.Entry(
                                    Instant.EPOCH, DecisionKind.CHAIN, "chosen \"a\""))
                    : List.of();
        }

        @Override
        public CompletionStage<InForceStatus> inForce(long generation) {
            Identity laggard = new Identity("viseu", ResourceKind.HOST, "entry-2");
            return CompletableFuture.completedFuture(
                    new InForceStatus(generation, 3, List.of(laggard), List.of()));
        }

        @Override
        public void drain() {
            mDrained = true;
        }
    }
}
