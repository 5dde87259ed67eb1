package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.ConnectionWatch;

/** Cancels a request whose caller closes the connection; forgets it when its exchange ends. */
final class CallerWatch {
    private Optional<RequestHandle> mHandle = Optional.empty();
    private boolean mClosed;

    private CallerWatch() {}

    /** Starts to watch, before the request is submitted: its exchange may end during that call. */
    static CallerWatch start(HttpServerExchange exchange) {
        CallerWatch watch = new CallerWatch();
        Cancellable connection = ConnectionWatch.start(exchange.getConnection(), watch::onClosed);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    connection.cancel();
                    next.proceed();
                });
        return watch;
    }

    void attach(RequestHandle handle) {
        synchronized (this) {
            mHandle = Optional.of(handle);
            if (!mClosed) {
                return;
            }
        }
        handle.cancel();
    }

    private void onClosed() {
        Optional<RequestHandle> handle;
        synchronized (this) {
            mClosed = true;
            handle = mHandle;
        }
        handle.ifPresent(RequestHandle::cancel);
    }
}
