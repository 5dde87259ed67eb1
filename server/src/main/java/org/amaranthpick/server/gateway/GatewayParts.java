package org.amaranthpick.server.gateway;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.TargetChooser;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;

/**
 * What exchanges work with.
 *
 * @param scheduler clocks, timers and the I/O thread
 * @param dialect headers of callers and upstreams
 * @param connector connections to upstreams
 * @param register upstreams known
 * @param health what traffic tells of them
 * @param chooser chooses targets
 * @param engines asks engines for their state
 * @param retries allowances by service
 * @param metrics counters and histograms
 * @param random source of jitter
 */
record GatewayParts(
        IoThreadScheduler scheduler,
        GatewayDialect dialect,
        HttpConnector connector,
        UpstreamRegister register,
        UpstreamHealth health,
        TargetChooser chooser,
        EngineControl engines,
        RetryAllowances retries,
        GatewayMetrics metrics,
        RandomGenerator random) {}
