package org.amaranthpick.server.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class CallerListenerTest {
    private static final String CREDENTIAL = "teacher-credential";
    private static final String GOOD_BODY =
            "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"plan\"}]";
    private static final int MAX_BODY_BYTES = 10_000;

    private static XnioWorker sWorker;

    @BeforeAll
    static void startWorker() throws IOException {
        sWorker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
    }

    @AfterAll
    static void stopWorker() {
        sWorker.shutdownNow();
    }

    static Stream<Arguments> badRequests() {
        return Stream.of(
                Arguments.of("malformed JSON", chat("{\"model\":"), 400),
                Arguments.of("not an object", chat("[1,2]"), 400),
                Arguments.of("empty body", chat(""), 400),
                Arguments.of("doubled field", chat("{\"model\":\"a\",\"model\":\"b\"}"), 400),
                Arguments.of("trailing text", chat(GOOD_BODY + "} {}"), 400),
                Arguments.of("model of wrong type", chat("{\"model\":7,\"messages\":[]}"), 400),
                Arguments.of("no messages", chat("{\"model\":\"assistant\"}"), 400),
                Arguments.of(
                        "tokens of wrong type", chat(GOOD_BODY + ",\"max_tokens\":\"5\"}"), 400),
                Arguments.of("too many tokens", chat(GOOD_BODY + ",\"max_tokens\":99999}"), 400),
                Arguments.of("stream of wrong type", chat(GOOD_BODY + ",\"stream\":\"yes\"}"), 400),
                Arguments.of("deep nesting", chat("[".repeat(500)), 400),
                Arguments.of("bad UTF-8", raw(new byte[] {'{', (byte) 0xff, (byte) 0xfe}), 400),
                Arguments.of("unknown model", chat(GOOD_BODY.replace("assistant", "x") + "}"), 404),
                Arguments.of(
                        "model of another fleet",
                        chat(GOOD_BODY.replace("assistant", "viseu/assistant") + "}"),
                        404),
                Arguments.of(
                        "illegal name", chat(GOOD_BODY.replace("assistant", "a b") + "}"), 404),
                Arguments.of("huge body", chat("x".repeat(MAX_BODY_BYTES + 1)), 413),
                Arguments.of(
                        "GET of a POST path", head("GET", "/v1/completions", "") + "\r\n", 405),
                Arguments.of("unknown path", head("GET", "/nothing", "") + "\r\n", 404),
                Arguments.of("two priorities", with("X-Priority: 1\r\nX-Priority: 2\r\n"), 400),
                Arguments.of("priority out of range", with("X-Priority: 11\r\n"), 400),
                Arguments.of("odd mark", with("X-Non-Idempotent: perhaps\r\n"), 400),
                Arguments.of("blank key", with("Idempotency-Key:  \r\n"), 400),
                Arguments.of("bad timeout", with("X-Timeout-Ms: soon\r\n"), 400),
                Arguments.of("two credentials", with("Authorization: Bearer other\r\n"), 401),
                Arguments.of(
                        "two lengths",
                        head("POST", "/v1/chat/completions", "Content-Length: 5\r\n")
                                + "Content-Length: 6\r\n\r\n{}{}{}",
                        400),
                Arguments.of(
                        "length that is no number",
                        head("POST", "/v1/chat/completions", "Content-Length: +5\r\n")
                                + "\r\n{}{}{}",
                        400),
                Arguments.of(
                        "unknown transfer coding",
                        head("POST", "/v1/chat/completions", "Transfer-Encoding: xchunked\r\n")
                                + "\r\n0\r\n\r\n",
                        400));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badRequests")
    void badRequestIsRefusedAndNothingRuns(String name, String request, int status)
            throws IOException {
        RecordingRouter router = new RecordingRouter(new Outcome.Answered("stop", 1, 0));
        String answer = exchange(router, request);
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(0, router.mSubmitted.get());
    }

    @Test
    void missingCredentialLeaksNoName() throws IOException {
        RecordingRouter router = new RecordingRouter(new Outcome.Answered("stop", 1, 0));
        String request = "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        String answer = exchange(router, request);
        assertTrue(answer.startsWith("HTTP/1.1 401 "), answer);
        assertFalse(answer.contains("assistant") || answer.contains("school"), answer);
    }

    @Test
    void wholeAnswerCarriesTextAndOutcome() throws IOException {
        RecordingRouter router =
                new RecordingRouter(new Outcome.Answered("stop", 3, 2), "Good ", "week");
        String answer = exchange(router, chat(GOOD_BODY + "}"));
        assertTrue(answer.contains("\"content\":\"Good week\""), answer);
        assertTrue(answer.contains("X-Outcome: answered"), answer);
    }

    @Test
    void streamedAnswerEndsWithOutcome() throws IOException {
        RecordingRouter router =
                new RecordingRouter(new Outcome.Answered("stop", 3, 2), "Good ", "week");
        String answer = exchange(router, chat(GOOD_BODY + ",\"stream\":true}"));
        assertTrue(answer.contains("\"content\":\"Good \""), answer);
        assertTrue(answer.contains("\"outcome\":\"answered\""), answer);
        assertTrue(answer.contains("data: [DONE]"), answer);
    }

    @Test
    void interruptedStreamNeverLooksWhole() throws IOException {
        RecordingRouter router =
                new RecordingRouter(new Outcome.Interrupted("stage lost", "ask again", 1), "Good ");
        String answer = exchange(router, chat(GOOD_BODY + ",\"stream\":true}"));
        assertTrue(answer.contains("\"outcome\":\"interrupted\""), answer);
        assertFalse(answer.contains("[DONE]"), answer);
    }

    @Test
    void refusedStreamHasStatusAndRetryAfter() throws IOException {
        Outcome.NotRun refusal =
                new Outcome.NotRun(
                        RefusalReason.LIMIT_REACHED,
                        "limit",
                        "wait",
                        Optional.of(Duration.ofMillis(1_200)));
        String answer =
                exchange(new RecordingRouter(refusal), chat(GOOD_BODY + ",\"stream\":true}"));
        assertTrue(answer.startsWith("HTTP/1.1 429 "), answer);
        assertTrue(answer.contains("Retry-After: 2"), answer);
        assertTrue(answer.contains("X-Outcome: not-run"), answer);
    }

    @Test
    void serviceCallPassesBodyAndStatus() throws IOException {
        RecordingRouter router = new RecordingRouter(new Outcome.Answered("stop", 1, 0));
        String request =
                head("POST", "/services/bookings/checkout", "Content-Length: 6\r\n") + "\r\ncamera";
        String answer = exchange(router, request);
        assertTrue(answer.startsWith("HTTP/1.1 201 "), answer);
        assertTrue(answer.endsWith("camera"), answer);
    }

    private static String exchange(RecordingRouter router, String request) throws IOException {
        Configuration configuration = configuration();
        CallerLimits limits =
                new CallerLimits(MAX_BODY_BYTES, 30, 8_192, Duration.ofSeconds(30), 10, 4, 100);
        Identity host = new Identity("kenanga", ResourceKind.HOST, "entry-1");
        try (CallerListener listener =
                new CallerListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        sWorker,
                        () -> Optional.of(configuration),
                        router,
                        new RequestIds(host, 1),
                        limits,
                        new VirtualScheduler(java.time.Instant.EPOCH))) {
            return send(listener.address(), request);
        }
    }

    private static String send(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String chat(String body) {
        return raw(body.getBytes(StandardCharsets.UTF_8));
    }

    private static String raw(byte[] body) {
        return head("POST", "/v1/chat/completions", "Content-Length: " + body.length + "\r\n")
                + "\r\n"
                + new String(body, StandardCharsets.ISO_8859_1);
    }

    private static String with(String headers) {
        String body = GOOD_BODY + "}";
        return head("POST", "/v1/chat/completions", headers)
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String head(String method, String path, String headers) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "
                + CREDENTIAL
                + "\r\n"
                + headers;
    }

    private static Configuration configuration() {
        Identity model = new Identity("kenanga", ResourceKind.MODEL_VERSION, "planner-1");
        Identity pipeline = new Identity("kenanga", ResourceKind.PIPELINE, "assistant");
        Identity foreign = new Identity("viseu", ResourceKind.PIPELINE, "assistant");
        Identity service = new Identity("kenanga", ResourceKind.SERVICE, "bookings");
        WorkspaceSpec workspace =
                new WorkspaceSpec(
                        new Identity("kenanga", ResourceKind.WORKSPACE, "school"),
                        List.of(CallerAuthenticator.hash(CREDENTIAL)),
                        new WorkspaceSpec.Limits(10, 1_000, 5),
                        1,
                        List.of(pipeline),
                        List.of(service));
        Manifest manifest =
                new Manifest(
                        List.of("kenanga", "viseu"),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new ModelVersionSpec(model, 2, 1, 1, 1)),
                        List.of(),
                        List.of(
                                new PipelineSpec(pipeline, model, Optional.empty(), 1),
                                new PipelineSpec(foreign, model, Optional.empty(), 1)),
                        List.of(workspace),
                        List.of(new ServiceSpec(service, List.of(), List.of())));
        return new Configuration(1, Map.of().toString(), manifest);
    }
}
