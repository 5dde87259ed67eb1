package org.amaranthpick.server.http;

import org.amaranthpick.core.reach.PathFault;

/** How an outgoing call ended. */
public sealed interface CallEnd {
    /** The whole response was read. */
    record Complete() implements CallEnd {}

    /**
     * No byte of the request left this host.
     *
     * @param reason what was seen
     * @param fault what is at fault, as far as is known
     */
    record NotSent(String reason, PathFault fault) implements CallEnd {
        /**
         * Creates the end of a call whose receiver is taken to be at fault.
         *
         * @param reason what was seen
         */
        public NotSent(String reason) {
            this(reason, PathFault.UPSTREAM);
        }
    }

    /**
     * Bytes of the request left and the response is not whole.
     *
     * @param reason what was seen
     */
    record Lost(String reason) implements CallEnd {}
}
