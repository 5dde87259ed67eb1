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
import org.amaranthpick.core.peer.PeerHub;
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
    private final List<Member> mAll = new ArrayList<>();
    private final Map<Identity, FixedMembers> mMembers = new HashMap<>();
    private final Map<Identity, Blackboard> mBoards = new HashMap<>();
    private PeerHub mHub;

    private void start(double loss) {
        for (String domain : DOMAINS) {
            mFleet.withDomain(domain, "kl");
            for (int i = 0; i < 5; i++) {
                mFleet.withEngine(domain + "-e" + i, domain, 1, 0, 40);
            }
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                Identity host = FleetFixture.id(ResourceKind.HOST, domain + "-h" + i);
                mAll.add(FixedMembers.member(host, FleetFixture.domain(domain), "kl"));
            }
        }
        mFleet.build().manifest().upstreams().forEach(u -> mUpstreams.set(u, 3, 1_000, false, 0));
        mHub = new PeerHub(mScheduler, new Random(11), loss, ObserveCodecs.all());
        mAll.forEach(this::startDaemon);
    }

    private void startDaemon(Member member) {
        FixedMembers members = new FixedMembers(member.host(), mAll);
        members.set(mAll);
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
        observation.controllers().forEach(this::repeat);
    }

    private void repeat(Controller controller) {
        controller.step();
        mScheduler.schedule(controller.period(), () -> repeat(controller));
    }

    private UpstreamObservation seen(Member member, String engine) {
        return mBoards.get(member.host())
                .upstreams()
                .get(FleetFixture.engine(engine))
                .orElseThrow();
    }

    /**
     * Every daemon learns every load, near ones within two seconds, also when messages are lost.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 0.3})
    void loadsReachEveryDaemon(double loss) {
        start(loss);
        mScheduler.advance(Duration.ofSeconds(60));
        UpstreamSpec spec = mFleet.spec("kl-a-e0");
        mUpstreams.set(spec, 40, 90_000, false, 0);
        mScheduler.advance(Duration.ofSeconds(loss > 0 ? 120 : 12));
        for (Member member : mAll) {
            UpstreamObservation seen = seen(member, "kl-a-e0");
            assertEquals(40, seen.status().runningStreams());
            assertEquals(90_000.0, (double) seen.status().queuedTokens(), 9_000.0);
            assertEquals(spec.initial(), seen.status().holdings());
        }
    }

    /** Leaving is known everywhere within three seconds, far domains included. */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-c-e4"})
    void leavingReachesEveryDaemonInTime(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        mUpstreams.set(mFleet.spec(engine), 3, 1_000, true, 0);
        mScheduler.advance(Duration.ofSeconds(3));
        mAll.forEach(member -> assertTrue(seen(member, engine).status().leaving()));
    }

    /** A lost upstream is known within two seconds in its domain, three everywhere. */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-b-e0"})
    void lossReachesEveryDaemonInTime(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        mUpstreams.silence(FleetFixture.engine(engine), true);
        mScheduler.advance(Duration.ofSeconds(2));
        for (Member member : mAll) {
            if (engine.startsWith(member.domain().name())) {
                assertEquals(Reachability.LOST, seen(member, engine).reachability());
            }
        }
        mScheduler.advance(Duration.ofSeconds(1));
        mAll.forEach(m -> assertEquals(Reachability.LOST, seen(m, engine).reachability()));
        mUpstreams.silence(FleetFixture.engine(engine), false);
        mScheduler.advance(Duration.ofSeconds(3));
        mAll.forEach(m -> assertEquals(Reachability.REACHABLE, seen(m, engine).reachability()));
    }

    /** Silence keeps an unchanged load fresh, unless the observers are cut off. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void silenceMeansUnchangedOnlyWhileDigestsArrive(boolean cut) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(60));
        Member far = mAll.get(mAll.size() - 1);
        if (cut) {
            for (Member member : mAll) {
                boolean other = !member.domain().equals(far.domain());
                if (other) {
                    mAll.stream()
                            .filter(m -> m.domain().equals(far.domain()))
                            .forEach(m -> mHub.cut(member.host(), m.host(), true));
                }
            }
        }
        mScheduler.advance(Duration.ofSeconds(40));
        UpstreamObservation seen = seen(far, "kl-a-e0");
        Duration age = Duration.between(seen.sampledAt(), mScheduler.instant());
        assertEquals(cut, age.compareTo(Duration.ofSeconds(12)) > 0, "age " + age);
    }

    /** When both observers of an upstream die, others take over. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void otherDaemonsTakeOver(int dead) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(30));
        List<Member> alive = mAll.subList(dead, mAll.size());
        mAll.subList(0, dead).forEach(member -> mHub.remove(member.host()));
        for (Member member : alive) {
            mMembers.get(member.host()).set(alive);
        }
        for (int i = 0; i < 5; i++) {
            mUpstreams.set(mFleet.spec("kl-a-e" + i), 25, 0, false, 0);
        }
        mScheduler.advance(Duration.ofSeconds(40));
        for (Member member : alive) {
            for (int i = 0; i < 5; i++) {
                assertEquals(25, seen(member, "kl-a-e" + i).status().runningStreams());
            }
        }
    }

    /** What is known of an upstream goes some time after the configuration drops it. */
    @ParameterizedTest
    @ValueSource(strings = {"kl-a-e1", "kl-b-e0"})
    void removedUpstreamIsForgotten(String engine) {
        start(0);
        mScheduler.advance(Duration.ofSeconds(30));
        mFleet.withoutEngine(engine).build();
        mScheduler.advance(Duration.ofSeconds(90));
        for (Member member : mAll) {
            Blackboard board = mBoards.get(member.host());
            assertTrue(board.upstreams().get(FleetFixture.engine(engine)).isEmpty());
            assertEquals(14, board.upstreams().size());
        }
    }
}
