package org.amaranthpick.tools.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.layers.EngineLayerState;
import org.amaranthpick.core.layers.LayerOrder;
import org.amaranthpick.core.layers.LayerPlanner;
import org.amaranthpick.core.layers.RepairDelay;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.standins.fleet.EmulatedFleet;

/** The register as daemons see it, and the layers that the holder of the lease orders. */
final class PlacementLoop {
    private static final Duration PERIOD = Duration.ofMillis(250);

    /** Part of the usual time that loads before the first request take. */
    private static final double EARLY_LOAD = 0.1;

    private final EmulatedFleet mFleet;
    private final EngineModel mModel;
    private final UpstreamRegister mRegister;
    private final Scheduler mScheduler;
    private final Map<String, LayerRange> mPending = new HashMap<>();
    private Set<String> mMembers = Set.of();
    private long mMembersSinceNs;
    private boolean mTraffic;
    private int mLoads;

    PlacementLoop(
            EmulatedFleet fleet,
            EngineModel model,
            UpstreamRegister register,
            Scheduler scheduler) {
        mFleet = fleet;
        mModel = model;
        mRegister = register;
        mScheduler = scheduler;
    }

    void start() {
        step();
    }

    void onTraffic() {
        mTraffic = true;
        mLoads = 0;
    }

    /** Loads ordered since traffic began. */
    int loads() {
        return mLoads;
    }

    private void step() {
        mRegister.replaceAll(mFleet.registered(), mScheduler.monotonicNs());
        updateMembers();
        List<EngineLayerState> states = new ArrayList<>();
        for (UpstreamEntry entry : mFleet.registered()) {
            LayerRange pending = mPending.get(entry.id());
            states.add(
                    new EngineLayerState(
                            entry.id(),
                            entry.domain(),
                            mModel.cards().get(entry.card().orElseThrow()),
                            pending == null ? entry.layers() : Optional.of(pending),
                            pending == null));
        }
        long stableNs = mScheduler.monotonicNs() - mMembersSinceNs;
        for (LayerOrder order :
                new LayerPlanner(mModel)
                        .plan(states, domain -> stableNs >= RepairDelay.PERIOD.toNanos())) {
            load(order);
        }
        mScheduler.schedule(PERIOD, this::step);
    }

    private void updateMembers() {
        Set<String> members = new HashSet<>();
        mFleet.registered().forEach(entry -> members.add(entry.id() + entry.startedAtMs()));
        if (!members.equals(mMembers)) {
            mMembers = members;
            mMembersSinceNs = mScheduler.monotonicNs();
        }
    }

    private void load(LayerOrder order) {
        mLoads++;
        mPending.put(order.engineId(), order.layers());
        mFleet.beginLoad(order.engineId(), order.layers());
        double seconds = mModel.loadSeconds() * order.layers().size() / mModel.layers();
        double factor = mTraffic ? 1 : EARLY_LOAD;
        mScheduler.schedule(
                Duration.ofMillis((long) (1000 * seconds * factor)),
                () -> {
                    mPending.remove(order.engineId());
                    mFleet.hold(order.engineId(), order.layers());
                });
    }
}
