package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Reads a whole request body within bounds of size and time. */
final class BodyReader {
    private final int mMaxBytes;
    private final Duration mTimeout;
    private final Scheduler mScheduler;

    BodyReader(int maxBytes, Duration timeout, Scheduler scheduler) {
        mMaxBytes = maxBytes;
        mTimeout = timeout;
        mScheduler = scheduler;
    }

    /**
     * Reads the body of an exchange that is not in a handler call.
     *
     * @param exchange the request
     * @param onBody takes the body
     * @param onFault takes the fault; exactly one of both is called
     */
    void read(
            HttpServerExchange exchange, Consumer<byte[]> onBody, Consumer<RequestFault> onFault) {
        if (exchange.getRequestContentLength() > mMaxBytes) {
            onFault.accept(tooLarge());
            return;
        }
        AtomicBoolean done = new AtomicBoolean();
        Cancellable timer =
                mScheduler.schedule(
                        mTimeout,
                        () -> {
                            if (done.compareAndSet(false, true)) {
                                exchange.getIoThread().execute(() -> onFault.accept(tooSlow()));
                            }
                        });
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (done1, body) -> {
                            if (done.compareAndSet(false, true)) {
                                timer.cancel();
                                onBody.accept(body);
                            }
                        },
                        (failed, e) -> {
                            if (done.compareAndSet(false, true)) {
                                timer.cancel();
                                onFault.accept(fault(e));
                            }
                        });
    }

    private RequestFault fault(IOException e) {
        return e instanceof RequestTooBigException
                ? tooLarge()
                : RequestFault.badRequest(
                        "the body did not arrive whole", "send the request again");
    }

    private RequestFault tooLarge() {
        return new RequestFault(
                413,
                RefusalReason.BAD_REQUEST,
                "the body is larger than " + mMaxBytes + " bytes",
                "send a shorter request");
    }

    private RequestFault tooSlow() {
        return new RequestFault(
                408,
                RefusalReason.BAD_REQUEST,
                "the body did not arrive within " + mTimeout.toSeconds() + " s",
                "send the request again on a faster connection");
    }
}
