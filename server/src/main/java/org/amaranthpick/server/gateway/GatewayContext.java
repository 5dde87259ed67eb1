package org.amaranthpick.server.gateway;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.gateway.LeastLoadedTargetPolicy;
import org.amaranthpick.core.gateway.admission.LoadAdmission;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.room.ReportedRoom;
import org.amaranthpick.server.time.IoThreadScheduler;

/**
 * Components shared by all exchanges of a gateway.
 *
 * @param host name of this daemon
 * @param scheduler clock, timers and the I/O thread
 * @param dialect HTTP headers used by callers and upstreams
 * @param upstreams calls upstreams, directly or through other daemons
 * @param paths direct paths to the upstreams
 * @param register registered upstreams
 * @param health health of the upstreams as observed from the forwarded requests
 * @param admission whether upstreams may get requests, by what they say themselves
 * @param targetPolicy selects the target of each attempt
 * @param loadAdmission which requests of models are sent, wait or are turned away
 * @param room how full the chains are
 * @param engines queries engines for their state
 * @param quarantine requests and parts of prompts that crash upstreams
 * @param crashes finds out which engines have crashed
 * @param retryBudgets retry budget of each service
 * @param answerMemory memory for answers that are read whole before they are passed on
 * @param metrics counters and histograms
 * @param random random source
 * @param stop planned stop of this daemon
 * @param planned planned work that is within reach
 */
record GatewayContext(
        String host,
        IoThreadScheduler scheduler,
        GatewayDialect dialect,
        UpstreamConnector upstreams,
        UpstreamPaths paths,
        UpstreamRegister register,
        UpstreamHealth health,
        UpstreamAdmission admission,
        LeastLoadedTargetPolicy targetPolicy,
        LoadAdmission loadAdmission,
        ReportedRoom room,
        EngineControl engines,
        PromptQuarantine quarantine,
        CrashDetector crashes,
        RetryBudgets retryBudgets,
        BodyMemory answerMemory,
        GatewayMetrics metrics,
        RandomGenerator random,
        StopSequence stop,
        PlannedWork planned) {}
