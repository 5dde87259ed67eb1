package org.amaranthpick.tools.client;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.ExitCode;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Blocking HTTP client for commands, on the connector that the daemon uses. */
public final class CommandClient implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final Duration SILENCE = Duration.ofSeconds(60);

    private final XnioWorker mWorker;
    private final SystemScheduler mScheduler = new SystemScheduler("amaranthpick-command");
    private final HttpConnector mConnector;

    /**
     * Answer of a daemon.
     *
     * @param status HTTP status
     * @param outcome outcome header, if present
     * @param requestId request id header, if present
     * @param body body text
     */
    public record Answer(
            int status, Optional<String> outcome, Optional<String> requestId, String body) {}

    /** Creates a client without connections. */
    public CommandClient() {
        try {
            mWorker =
                    Xnio.getInstance()
                            .createWorker(
                                    OptionMap.create(
                                            Options.WORKER_IO_THREADS,
                                            2,
                                            Options.THREAD_DAEMON,
                                            true));
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.UNREACHABLE, "threads cannot be started: " + e.getMessage());
        }
        mConnector = new HttpConnector(mWorker, mScheduler, ConnectorSettings.defaults());
    }

    /**
     * Returns the worker, for clients of other protocols.
     *
     * @return threads of this client
     */
    public XnioWorker worker() {
        return mWorker;
    }

    /**
     * Returns the scheduler, for clients of other protocols.
     *
     * @return timers of this client
     */
    public SystemScheduler scheduler() {
        return mScheduler;
    }

    /**
     * Makes one call and waits for its answer.
     *
     * @param address scheme, IP number and port
     * @param method HTTP method
     * @param path path
     * @param credential bearer credential, empty for none
     * @param headers further headers
     * @param body body text, empty for none
     * @return answer
     * @throws CommandException if no whole answer comes
     */
    public Answer call(
            URI address,
            String method,
            String path,
            String credential,
            Map<String, String> headers,
            String body) {
        BodyCollector collector = new BodyCollector(MAX_BODY_BYTES);
        mConnector.send(request(address, method, path, credential, headers, body), collector);
        BodyCollector.Reply reply = collector.reply().toCompletableFuture().join();
        if (reply.end() instanceof CallEnd.NotSent notSent) {
            throw new CommandException(
                    ExitCode.UNREACHABLE,
                    address + " cannot be reached: " + notSent.reason() + "; check the address");
        }
        if (reply.end() instanceof CallEnd.Lost lost) {
            throw new CommandException(
                    ExitCode.UNKNOWN, "the answer of " + address + " was lost: " + lost.reason());
        }
        return new Answer(
                reply.status(),
                Optional.ofNullable(reply.headers().getFirst("X-Outcome")),
                Optional.ofNullable(reply.headers().getFirst("X-Request-Id")),
                new String(reply.body(), StandardCharsets.UTF_8));
    }

    /**
     * Makes one call and hands on its body as it comes.
     *
     * @param address scheme, IP number and port
     * @param path path
     * @param credential bearer credential
     * @param body body text
     * @param onText takes each piece of the body
     * @return completes when the call ends
     */
    public CompletableFuture<CallEnd> stream(
            URI address, String path, String credential, String body, Consumer<String> onText) {
        CompletableFuture<CallEnd> ended = new CompletableFuture<>();
        mConnector.send(
                request(address, "POST", path, credential, Map.of(), body),
                new ResponseListener() {
                    @Override
                    public void onResponse(int status, io.undertow.util.HeaderMap headers) {
                        // The status of a stream stands in its events.
                    }

                    @Override
                    public void onBytes(ByteBuffer bytes) {
                        onText.accept(StandardCharsets.UTF_8.decode(bytes).toString());
                    }

                    @Override
                    public void onEnd(CallEnd end) {
                        ended.complete(end);
                    }
                });
        return ended;
    }

    @Override
    public void close() {
        mConnector.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    private static OutgoingRequest request(
            URI address,
            String method,
            String path,
            String credential,
            Map<String, String> headers,
            String body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        if (!credential.isEmpty()) {
            all.put("Authorization", "Bearer " + credential);
        }
        if (!body.isEmpty()) {
            all.put("Content-Type", "application/json");
        }
        return new OutgoingRequest(
                address,
                method,
                path,
                all,
                body.getBytes(StandardCharsets.UTF_8),
                SILENCE,
                Optional.empty());
    }
}
