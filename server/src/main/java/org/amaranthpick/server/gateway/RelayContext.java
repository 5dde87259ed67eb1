package org.amaranthpick.server.gateway;

import java.net.InetAddress;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.server.time.IoThreadScheduler;

/**
 * Components that relaying requests for other daemons needs.
 *
 * @param scheduler clock, timers and the I/O thread
 * @param dialect HTTP headers of upstreams
 * @param register registered upstreams
 * @param admission whether upstreams may get requests, by what they say themselves
 * @param paths direct paths of this daemon
 * @param isDaemon whether an address is that of a daemon of this fleet
 * @param maxBodyBytes largest body of a request
 * @param bodyMemory memory for the bodies of requests
 * @param metrics counts relayed requests
 */
record RelayContext(
        IoThreadScheduler scheduler,
        GatewayDialect dialect,
        UpstreamRegister register,
        UpstreamAdmission admission,
        UpstreamPaths paths,
        Predicate<InetAddress> isDaemon,
        LongSupplier maxBodyBytes,
        BodyMemory bodyMemory,
        GatewayMetrics metrics) {}
