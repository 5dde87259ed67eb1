package org.amaranthpick.core.follow;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Asks other daemons for changes. */
public interface FollowLink {
    /**
     * Asks a daemon. After a timeout the next request goes over a new connection.
     *
     * @param address IP address and port of the daemon
     * @param request the request
     * @param timeout longest time for the answer
     * @param then receives the answer once, or nothing if there was none
     */
    void ask(
            String address,
            FollowRequest request,
            Duration timeout,
            Consumer<Optional<FollowAnswer>> then);
}
