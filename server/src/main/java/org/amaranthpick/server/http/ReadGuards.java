package org.amaranthpick.server.http;

import java.util.Optional;
import org.amaranthpick.server.http.response.MalformedResponseException;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * What stands between a connection and the library's parser, which has neither limits nor a strict
 * syntax.
 *
 * @param limit bounds what is read without progress
 * @param validation refuses malformed responses
 */
record ReadGuards(ProgressLimit limit, ValidatingConduit validation) {
    /** Guards what is read from a channel. */
    static ReadGuards install(ConduitStreamSourceChannel channel) {
        return new ReadGuards(ProgressLimit.install(channel), ValidatingConduit.install(channel));
    }

    /** Expects the response to a request with a method. */
    void onCall(String method) {
        limit.onProgress();
        validation.onCall(method);
    }

    /** Records that a head is complete or bytes of a body came. */
    void onProgress() {
        limit.onProgress();
    }

    /** Returns whether the connection may carry another call. */
    boolean isReusable() {
        return validation.isReusable();
    }

    /** Returns why the response is malformed, empty if it is not. */
    Optional<MalformedResponseException> malformed() {
        return validation.failure();
    }
}
