package org.amaranthpick.bench.wave;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.amaranthpick.core.admit.Admission;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.AdmissionSettings;
import org.amaranthpick.core.admit.CapacityGate;
import org.amaranthpick.core.admit.DelayReportingFeedback;
import org.amaranthpick.core.admit.DelayWindowGate;
import org.amaranthpick.core.admit.FairAdmission;
import org.amaranthpick.core.admit.LocalLimits;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.retry.OutlierEjection;
import org.amaranthpick.core.route.ChainChooser;
import org.amaranthpick.core.route.ChainDecision;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.route.ChainRequest;
import org.amaranthpick.core.route.CheapestChainChooser;
import org.amaranthpick.core.route.EngineDirectory;
import org.amaranthpick.core.route.RandomChainChooser;
import org.amaranthpick.core.route.RoundRobinChainChooser;
import org.amaranthpick.core.route.Routing;
import org.amaranthpick.core.time.VirtualScheduler;

/** One daemon of the measurement: admission, chain choice and what it knows of the engines. */
final class WaveDaemon {
    private final Configuration mConfiguration;
    private final Blackboard mBoard = new Blackboard();
    private final Routing mRouting;
    private final ChainChooser mChooser;
    private final ChainFeedback mFeedback;
    private final Admission mAdmission;
    private final Identity mDomain;

    /** Ways to choose chains. */
    enum Policy {
        FLOW,
        LEAST_LOAD,
        ROUND_ROBIN,
        RANDOM
    }

    /** Gate that lets everything in, for comparison. */
    private static final class OpenGate implements CapacityGate {
        @Override
        public boolean tryAcquire(String group, int priority) {
            return true;
        }

        @Override
        public void release(String group) {
            // Nothing is counted.
        }
    }

    /** Ejection that never ejects. */
    private static final class NoEjection implements OutlierEjection {
        @Override
        public void onSuccess(Identity upstream) {}

        @Override
        public void onFailure(Identity upstream, String reason) {}

        @Override
        public boolean ejected(Identity upstream) {
            return false;
        }
    }

    WaveDaemon(
            int index,
            int domains,
            Configuration configuration,
            VirtualScheduler scheduler,
            Policy policy,
            Optional<Integer> paceMs) {
        mConfiguration = configuration;
        mDomain = WaveFleet.domain(index % domains);
        mRouting =
                new Routing(
                        new Routing.Context(
                                mDomain,
                                mBoard,
                                () -> Optional.of(configuration),
                                scheduler,
                                1_000L * index,
                                new Invariants()),
                        new NoEjection(),
                        id -> 1,
                        new PrefixIndex(50_000));
        mChooser = chooser(policy, index);
        DelayWindowGate window = new DelayWindowGate(settings(paceMs), scheduler);
        mFeedback = new DelayReportingFeedback(mRouting.feedback(), window);
        CapacityGate gate = paceMs.isPresent() ? window : new OpenGate();
        mAdmission =
                new FairAdmission(
                        AdmissionSettings.DEFAULT, new LocalLimits(scheduler), gate, scheduler);
    }

    private static DelayWindowGate.Settings settings(Optional<Integer> paceMs) {
        DelayWindowGate.Settings settings = DelayWindowGate.Settings.DEFAULT;
        Duration pace = paceMs.map(Duration::ofMillis).orElse(settings.tokenIntervalTarget());
        return new DelayWindowGate.Settings(
                settings.initialWindow(),
                settings.minWindow(),
                settings.maxWindow(),
                settings.delayTarget(),
                pace,
                settings.urgentPriority(),
                settings.urgentReserve());
    }

    private ChainChooser chooser(Policy policy, int index) {
        EngineDirectory directory =
                new EngineDirectory(mBoard, () -> Optional.of(mConfiguration), id -> false);
        if (policy == Policy.RANDOM) {
            return new RandomChainChooser(directory, new Random(index));
        }
        if (policy == Policy.ROUND_ROBIN) {
            return new RoundRobinChainChooser(directory, index * 7);
        }
        return policy == Policy.FLOW
                ? mRouting.chainChooser()
                : new CheapestChainChooser(directory);
    }

    Identity domain() {
        return mDomain;
    }

    Routing routing() {
        return mRouting;
    }

    ChainFeedback feedback() {
        return mFeedback;
    }

    void observe(FakeEngine engine, Instant at) {
        mBoard.upstreams()
                .put(
                        engine.spec().id(),
                        new UpstreamObservation(
                                engine.spec().id(),
                                engine.status(),
                                at,
                                UpstreamObservation.Reachability.REACHABLE));
    }

    void observe(UpstreamObservation seen) {
        mBoard.upstreams().put(seen.upstream(), seen);
    }

    void control() {
        mRouting.controllers().forEach(Controller::step);
    }

    /** Admits a request, chooses its chain and hands it on. */
    void submit(WaveRequest request, Consumer<WaveRequest> send) {
        AdmissionRequest asked =
                new AdmissionRequest(
                        request.mId,
                        request.mWorkspace,
                        WaveFleet.MODEL.id().key(),
                        request.mPromptTokens + request.mTokens,
                        request.mPriority,
                        Optional.empty());
        var unused =
                mAdmission.request(
                        asked,
                        decision -> {
                            if (decision instanceof AdmissionDecision.Admitted admitted) {
                                request.mPermit = admitted.permit();
                                choose(request);
                                send.accept(request);
                            }
                        });
    }

    private void choose(WaveRequest request) {
        ChainRequest wanted =
                new ChainRequest(
                        request.mId,
                        mConfiguration,
                        WaveFleet.MODEL,
                        Optional.empty(),
                        request.mPromptTokens,
                        0,
                        request.mTokens,
                        request.mPrefixHashes,
                        Set.of(),
                        Optional.empty(),
                        Optional.<Duration>empty());
        if (mChooser.choose(wanted) instanceof ChainDecision.Chosen chosen) {
            request.mChain = chosen.chain();
            mFeedback.onSent(chosen.chain(), request.mPromptTokens);
            return;
        }
        throw new IllegalStateException("no chain; the fleet of the measurement is incomplete");
    }
}
