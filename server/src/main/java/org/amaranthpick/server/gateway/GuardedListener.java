package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ResponseListener;

/**
 * Passes on what happens to a call as steps of the exchange that it belongs to.
 *
 * @param listener receives the events
 * @param exchange runs the steps
 */
record GuardedListener(ResponseListener listener, OpenExchange exchange)
        implements ResponseListener {
    @Override
    public void onSending() {
        exchange.run(listener::onSending);
    }

    @Override
    public void onResponse(int status, HeaderMap headers) {
        exchange.run(() -> listener.onResponse(status, headers));
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        exchange.run(() -> listener.onBytes(bytes));
    }

    @Override
    public boolean acceptsMore() {
        return listener.acceptsMore();
    }

    @Override
    public boolean keepsConnection() {
        return listener.keepsConnection();
    }

    @Override
    public void onEnd(CallEnd end) {
        exchange.run(() -> listener.onEnd(end));
    }
}
