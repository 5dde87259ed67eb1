package org.amaranthpick.core.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.member.FixedMembers;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.peer.LossyPeerNetwork;
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ObservationTest {
    private static final List<String> DOMAINS = List.of("kl-a", "kl-b", "kl-c");
    private static final int DAEMONS_PER_DOMAIN = 4;

    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final FleetFixture mFleet = new FleetFixture();
    private final FakeUpstreams mUpstreams = new FakeUpstreams();
    private final List<Member> mDaemons = new ArrayList<>();
    private final Map<Identity, FixedMembers> mMembers = new HashMap<>();
    private final Map<Identity, Blackboard> mBoards = new HashMap<>();
    private LossyPeerNetwork mHub;

    private void start(double lossRate) {
        for (String domain : DOMAINS) {
            mFleet.withDomain(domain, "kl");
            for (int i = 0; i < 5; i++) {
                mFleet.withEngine(domain + "-e" + i, domain, 1, 0, 40);
            }
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                Identity host = FleetFixture.id(ResourceKind.HOST, domain + "-h" + i);
                mDaemons.add(FixedMembers.member(host, FleetFixture.domain(domain), "kl"));
            }
        }
        mFleet.build()
                .manifest()
                .upstreams()
                .forEach(spec -> mUpstreams.set(spec, 3, 1_000, false, 0));
        mHub = new LossyPeerNetwork(mScheduler, new Random(11), lossRate, ObserveCodecs.all());
        mDaemons.forEach(this::startDaemon);
    }

    private void startDaemon(Member member) {
        FixedMembers members = new FixedMembers(member.host(), mDaemons);
        members.set(mDaemons);
        Blackboard board = new Blackboard();
        mMembers.put(member.host(), members);
        mBoards.put(member.host(), board);
        Observation observation =
                new Observation(
                        new Observation.Context(
                                board,
                                () -> Optional.of(mFleet.configuration()),
                                members,
                                mUpstreams,
                                mHub.network(member.host()),
                                mScheduler,
                                DigestSettings.DEFAULT));
        observation.controllers().forEach(this::runPeriodically);
    }

    private void runPeriodically(Controller controller) {
        controller.step();
        mScheduler.schedule(controller.period(), () -> runPeriodically(controller));
    }

    private UpstreamObservation observation(Member member, String engine) {
        return mBoards.get(member.host())
                .upstreams()
                .get(FleetFixture.engine(engine))
                .orElseThrow();
    }

    /**
     * Every daemon receives a changed load, within 12 seconds without message loss and within two
     * minutes with it.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 0.3})
    void loadsReachEveryDaemon(double lossRate) {
        start(lossRate);
        mScheduler.advance(Duration.ofSeconds(60));
        UpstreamSpec spec = mFleet.spec("kl-a-e0");
        mUpstreams.set(spec, 40, 90_000, false, 0);
        mScheduler.advance(Duration.ofSeconds(lossRate > 0 ? 120 : 12));
        for (Member member : mDaemons) {
            UpstreamObservation observation = observation(member, "kl-a-e0");
            assertEquals(40, observation.status().runningStreams());
            assertEquals(90_000.0, (double) observation.status().queuedTokens(), 9_000.0);
            assertEquals(spec.initialHoldings(), observation.status().holdings());
        }
    }

    /**
     * Every daemon, also in other domains, knows within three seconds that an engine is leaving.
     */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-c-e4"})
    void leavingReachesEveryDaemonInTime(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        mUpstreams.set(mFleet.spec(engine), 3, 1_000, true, 0);
        mScheduler.advance(Duration.ofSeconds(3));
        mDaemons.forEach(member -> assertTrue(observation(member, engine).status().leaving()));
    }

    /**
     * The daemons of its domain know within two seconds that an upstream is lost, all daemons
     * within three.
     */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-b-e0"})
    void lossReachesEveryDaemonInTime(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        mUpstreams.setUnresponsive(FleetFixture.engine(engine), true);
        mScheduler.advance(Duration.ofSeconds(2));
        for (Member member : mDaemons) {
            if (engine.startsWith(member.domain().name())) {
                assertEquals(Reachability.LOST, observation(member, engine).reachability());
            }
        }
        mScheduler.advance(Duration.ofSeconds(1));
        mDaemons.forEach(
                m -> assertEquals(Reachability.LOST, observation(m, engine).reachability()));
        mUpstreams.setUnresponsive(FleetFixture.engine(engine), false);
        mScheduler.advance(Duration.ofSeconds(3));
        mDaemons.forEach(
                m -> assertEquals(Reachability.REACHABLE, observation(m, engine).reachability()));
    }

    /**
     * An omitted load counts as unchanged, unless a partition stops the digests of its observers.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void omittedLoadIsUnchangedOnlyWhileDigestsArrive(boolean partitioned) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        Member far = mDaemons.get(mDaemons.size() - 1);
        if (partitioned) {
            for (Member member : mDaemons) {
                boolean isOtherDomain = !member.domain().equals(far.domain());
                if (isOtherDomain) {
                    mDaemons.stream()
                            .filter(m -> m.domain().equals(far.domain()))
                            .forEach(m -> mHub.setCut(member.host(), m.host(), true));
                }
            }
        }
        mScheduler.advance(Duration.ofSeconds(40));
        UpstreamObservation observation = observation(far, "kl-a-e0");
        Duration age = Duration.between(observation.sampledAt(), mScheduler.instant());
        assertEquals(partitioned, age.compareTo(Duration.ofSeconds(12)) > 0, "age " + age);
    }

    /** If the observers of an upstream fail, other daemons observe it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void otherDaemonsReplaceFailedObservers(int failedCount) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(30));
        List<Member> remaining = mDaemons.subList(failedCount, mDaemons.size());
        mDaemons.subList(0, failedCount).forEach(member -> mHub.remove(member.host()));
        for (Member member : remaining) {
            mMembers.get(member.host()).set(remaining);
        }
        for (int i = 0; i < 5; i++) {
            mUpstreams.set(mFleet.spec("kl-a-e" + i), 25, 0, false, 0);
        }
        mScheduler.advance(Duration.ofSeconds(40));
        for (Member member : remaining) {
            for (int i = 0; i < 5; i++) {
                assertEquals(25, observation(member, "kl-a-e" + i).status().runningStreams());
            }
        }
    }

    /** The observation of an upstream is removed some time after the configuration removes it. */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-b-e0"})
    void observationOfRemovedUpstreamIsRemoved(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(30));
        mFleet.withoutEngine(engine).build();
        mScheduler.advance(Duration.ofSeconds(90));
        for (Member member : mDaemons) {
            Blackboard board = mBoards.get(member.host());
            assertTrue(board.upstreams().get(FleetFixture.engine(engine)).isEmpty());
            assertEquals(14, board.upstreams().size());
        }
    }
}
