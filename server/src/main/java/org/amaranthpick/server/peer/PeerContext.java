package org.amaranthpick.server.peer;

import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * What every connection of this daemon shares.
 *
 * @param self host of this daemon
 * @param keys shared keys
 * @param addresses finds the address of a peer
 * @param scheduler clock and timers
 * @param random random source of nonces and jitter; unpredictable in a daemon
 * @param settings bounds
 * @param counters counters
 * @param inbox takes received payloads
 */
record PeerContext(
        Identity self,
        PeerKeys keys,
        Function<Identity, Optional<PeerAddress>> addresses,
        Scheduler scheduler,
        RandomGenerator random,
        PeerSettings settings,
        PeerCounters counters,
        Inbox inbox) {

    /** Takes received payloads. */
    @FunctionalInterface
    interface Inbox {
        /**
         * Takes one payload.
         *
         * @param from host of the sender, authenticated
         * @param payload payload
         * @throws java.io.IOException if the bytes are no message
         */
        void onPayload(Identity from, byte[] payload) throws java.io.IOException;
    }
}
