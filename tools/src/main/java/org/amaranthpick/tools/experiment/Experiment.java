package org.amaranthpick.tools.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.RetryBudget;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.standins.fleet.EmulatedFleet;
import org.amaranthpick.standins.fleet.EntryGroup;
import org.amaranthpick.standins.fleet.FleetShape;

/**
 * Plays one load pattern through the gateway's decisions on an emulated fleet, under virtual time.
 * The same shape, pattern, policy and seed give the same result.
 */
public final class Experiment {
    private static final Duration LEAD = Duration.ofSeconds(10);
    private static final Duration LENGTH = Duration.ofSeconds(26);

    /** Time for what is in progress at the end. */
    private static final Duration DRAIN = Duration.ofSeconds(12);

    private static final double REPEATS_PER_REQUEST = 0.2;
    private static final double REPEATS_ALL = 300;
    private static final Duration REPEAT_WINDOW = Duration.ofSeconds(10);
    private static final int STORM_REPEATS = 3;
    private static final double STORM_CALLERS = 0.3;

    /** Spread of the time after which a refused caller comes back. */
    private static final int RETURN_FROM_MS = 400;

    private static final int RETURN_TO_MS = 1400;
    private static final double NS_PER_MS = 1e6;

    private final FleetShape mShape;
    private final LoadPattern mPattern;
    private final PolicyKind mPolicy;
    private final SplittableRandom mRandom;
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final UpstreamRegister mRegister = new UpstreamRegister();
    private final CallTally mTally = new CallTally();
    private final Map<String, List<EmulatedDaemon>> mDaemons = new HashMap<>();
    private final EmulatedFleet mFleet;

    /**
     * Creates an experiment.
     *
     * @param shape shape of the fleet
     * @param pattern load
     * @param policy how chains are chosen
     * @param seed seed of all draws
     */
    public Experiment(FleetShape shape, LoadPattern pattern, PolicyKind policy, long seed) {
        mShape = shape;
        mPattern = pattern;
        mPolicy = policy;
        mRandom = new SplittableRandom(seed);
        mFleet = new EmulatedFleet(shape, mScheduler);
    }

    /**
     * Plays it.
     *
     * @param arrivals requests, or none to draw those of the pattern
     * @return what callers saw
     */
    public ExperimentResult run(Optional<List<Arrival>> arrivals) {
        PlacementLoop placement = new PlacementLoop(mFleet, mShape.model(), mRegister, mScheduler);
        createDaemons();
        placement.start();
        mScheduler.advance(LEAD);
        placement.onTraffic();
        List<Arrival> played =
                arrivals.orElseGet(
                        () ->
                                new ArrivalMaker(mShape, mPattern, mRandom.nextLong())
                                        .make(LENGTH.toMillis()));
        played.forEach(
                arrival ->
                        mScheduler.schedule(
                                Duration.ofNanos((long) (arrival.atMs() * NS_PER_MS)),
                                () -> ask(arrival, mScheduler.monotonicNs(), 0)));
        Disturbance disturbance = new Disturbance(mShape, mFleet, mScheduler);
        mScheduler.schedule(
                Duration.ofMillis((long) ArrivalMaker.FROM_MS), () -> disturbance.begin(mPattern));
        mScheduler.advance(LENGTH.plus(DRAIN));
        return ExperimentResult.of(mShape, mPattern, mPolicy, mTally, mFleet, placement, LEAD);
    }

    private void createDaemons() {
        int count = mShape.entries().stream().mapToInt(EntryGroup::daemons).sum();
        GatewayService service =
                new GatewayService(mShape.name(), Integer.MAX_VALUE, Optional.of(mShape.model()));
        for (EntryGroup entry : mShape.entries()) {
            List<EmulatedDaemon> daemons = new ArrayList<>();
            for (int i = 0; i < entry.daemons(); i++) {
                UpstreamHealth health = new UpstreamHealth();
                daemons.add(
                        new EmulatedDaemon(
                                mFleet,
                                mScheduler,
                                service,
                                route(),
                                mPolicy.create(
                                        mRegister, health, entry.domain(), count, mRandom.split()),
                                health,
                                new RetryBudget(
                                        REPEATS_PER_REQUEST,
                                        () -> REPEATS_ALL / count,
                                        REPEAT_WINDOW),
                                mTally));
            }
            mDaemons.put(entry.domain(), daemons);
        }
    }

    private GatewayRoute route() {
        return new GatewayRoute(
                mShape.name(),
                "",
                "/",
                RequestKind.STREAM,
                true,
                Duration.ofMillis(mShape.deadlineMs()),
                Duration.ofMillis(mShape.firstEventMs()),
                Optional.of(Duration.ofMillis(mShape.pauseMs())),
                1,
                List.of(new ServiceShare(mShape.name(), 1)),
                2,
                true);
    }

    private void ask(Arrival arrival, long askedNs, int returns) {
        List<EmulatedDaemon> daemons = mDaemons.get(arrival.domain());
        if (daemons == null) {
            throw new IllegalArgumentException(
                    "no entry hosts in domain " + arrival.domain() + "; name it in the shape");
        }
        EmulatedDaemon daemon = daemons.get((arrival.caller() + returns) % daemons.size());
        new EmulatedCall(daemon, arrival, askedNs, () -> comesBack(arrival, askedNs, returns))
                .start();
    }

    private boolean comesBack(Arrival arrival, long askedNs, int returns) {
        boolean storms =
                mPattern == LoadPattern.RETRY_STORM && mRandom.nextDouble() < STORM_CALLERS;
        if (returns >= (storms ? STORM_REPEATS : 1)) {
            return false;
        }
        long delayMs = storms ? 1 : mRandom.nextInt(RETURN_FROM_MS, RETURN_TO_MS);
        mScheduler.schedule(Duration.ofMillis(delayMs), () -> ask(arrival, askedNs, returns + 1));
        return true;
    }
}
