package org.amaranthpick.core.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.stream.Stream;
import org.amaranthpick.core.config.ConfigurationInForce;
import org.amaranthpick.core.config.ConfigurationService;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.member.HostDirectory;
import org.amaranthpick.core.member.ListedHost;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberCluster;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Membership;
import org.amaranthpick.core.member.MembershipSettings;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.quarantine.QuarantineGossip;
import org.amaranthpick.core.quarantine.QuarantineRecords;
import org.amaranthpick.core.register.DaemonCounter;
import org.amaranthpick.core.register.HealthGossip;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoreFollower;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriterTokens;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** One exception ended a task that planned its next run as its last statement, for good. */
class RepeatedTasksTest {
    private static final Duration PHASE = Duration.ofSeconds(60);
    private static final Duration EVENT_PERIOD = Duration.ofSeconds(1);
    private static final Executor DIRECT = Runnable::run;
    private static final Member SELF = member(0);
    private static final Member OTHER = member(1);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final SplittableRandom mRandom = new SplittableRandom(7);
    private final MemoryObjectStore mMemoryStore = new MemoryObjectStore();
    private final WriterTokens mTokens = new WriterTokens("h", 1);
    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final Map<String, Integer> mFailures = new HashMap<>();
    private boolean mThrows = true;
    private boolean mErrors;
    private boolean mFutures;
    private int mCalls;
    private int mEvents;

    /** Returns the repeated tasks, their names in reports, and how to start them. */
    static Stream<Arguments> tasks() {
        return Stream.of(
                task("t", RepeatedTasksTest::startControl),
                task("store k/", test -> test.follow(test.store(), test.sink(false))),
                task("store k/", RepeatedTasksTest::followFutures),
                task("store k/", test -> test.follow(test.mMemoryStore, test.sink(true))),
                task("daemons", test -> test.countDaemons(test.store(), count -> {})),
                task("daemons", RepeatedTasksTest::countFutures),
                task("daemons", test -> test.countDaemons(test.mMemoryStore, count -> test.call())),
                task("quarantine records", RepeatedTasksTest::loadRecords),
                task("quarantine gossip", RepeatedTasksTest::gossipOfCrashes),
                task("health gossip", RepeatedTasksTest::gossipOfHealth),
                task("members", RepeatedTasksTest::probeMembers),
                task("configuration", RepeatedTasksTest::followConfiguration));
    }

    private static Arguments task(String name, Consumer<RepeatedTasksTest> start) {
        return Arguments.of(name, start);
    }

    @ParameterizedTest(name = "{0} {index}")
    @MethodSource("tasks")
    void goesOnAfterErrors(String task, Consumer<RepeatedTasksTest> start) {
        mErrors = true;
        goesOnAfterExceptions(task, start);
    }

    @ParameterizedTest(name = "{0} {index}")
    @MethodSource("tasks")
    void goesOnAfterExceptions(String task, Consumer<RepeatedTasksTest> start) {
        mScheduler.setOnTaskFailed((name, e) -> mFailures.merge(name, 1, Integer::sum));
        mScheduler.schedule(EVENT_PERIOD, this::happen);
        start.accept(this);
        mScheduler.advance(PHASE);
        int failures = mFailures.getOrDefault(task, 0);
        assertTrue(failures >= 2, failures + " failures reported of " + mFailures);
        mThrows = false;
        int callsBefore = mCalls;
        mScheduler.advance(PHASE);
        assertTrue(mCalls > callsBefore, "no call after " + callsBefore);
    }

    private void call() {
        mCalls++;
        if (mThrows && mErrors) {
            throw new AssertionError("made to throw");
        }
        if (mThrows) {
            throw new IllegalStateException("made to throw");
        }
    }

    /** Something that the tasks react to. */
    private void happen() {
        String id = "e" + ++mEvents;
        mHealth.onBusy(id, mScheduler.monotonicNs());
        mQuarantine.onCrash(id, List.of("bad"), mScheduler.monotonicNs());
        mMemoryStore.write("k/" + id, new WriteCondition.Absent(), new byte[0], mTokens.next());
        mScheduler.schedule(EVENT_PERIOD, this::happen);
    }

    /** Returns an object whose methods throw, or return failed futures, except one of them. */
    private <T> T throwing(Class<T> type, T target, String sound) {
        Object proxy =
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, arguments) -> {
                            if (mFutures && mThrows) {
                                mCalls++;
                                return CompletableFuture.failedFuture(
                                        new IllegalStateException("made to fail"));
                            }
                            if (!method.getName().equals(sound)) {
                                call();
                            }
                            try {
                                return method.invoke(target, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
        return type.cast(proxy);
    }

    private ObjectStore store() {
        return throwing(ObjectStore.class, mMemoryStore, "close");
    }

    private void startControl() {
        new TaskGuard(mScheduler).repeat("t", EVENT_PERIOD, () -> false, this::call);
    }

    private StoreFollower.Sink sink(boolean throwing) {
        StoreFollower.Sink sink =
                new StoreFollower.Sink() {
                    @Override
                    public void onList(List<StoredObject> objects) {}

                    @Override
                    public void onWritten(StoredObject object) {}

                    @Override
                    public void onDeleted(String key) {}
                };
        return throwing ? throwing(StoreFollower.Sink.class, sink, "") : sink;
    }

    private void follow(ObjectStore store, StoreFollower.Sink sink) {
        new StoreFollower(store, "k/", mScheduler, DIRECT, mRandom, sink).start();
    }

    private void followFutures() {
        mFutures = true;
        follow(store(), sink(false));
    }

    private void countDaemons(ObjectStore store, IntConsumer onCount) {
        new DaemonCounter(store, mTokens, "h", "d", Optional.of("a:1"), mScheduler, DIRECT, mRandom)
                .start(onCount);
    }

    private void countFutures() {
        mFutures = true;
        countDaemons(store(), count -> {});
    }

    private void loadRecords() {
        new QuarantineRecords(store(), mTokens, mQuarantine, mScheduler, DIRECT).load();
    }

    private void gossipOfCrashes() {
        new QuarantineGossip(
                "a:1",
                mQuarantine,
                () -> List.of("b:1"),
                (peer, message, onFailed) -> call(),
                mScheduler,
                mRandom);
    }

    private void gossipOfHealth() {
        new HealthGossip(
                "h",
                mHealth,
                () -> 100,
                () -> List.of("b:1"),
                (peer, notes) -> call(),
                mScheduler,
                mRandom);
    }

    private static Member member(int number) {
        return new Member(
                MemberCluster.host(number),
                MemberCluster.address(number),
                MemberCluster.domain(0),
                "r",
                1,
                MemberState.ALIVE);
    }

    private PeerNetwork network() {
        PeerNetwork silent =
                new PeerNetwork() {
                    @Override
                    public void send(Identity to, PeerMessage message) {}

                    @Override
                    public void handle(int tag, PeerHandler handler) {}
                };
        return throwing(PeerNetwork.class, silent, "handle");
    }

    private void probeMembers() {
        HostDirectory directory =
                () ->
                        CompletableFuture.completedFuture(
                                List.of(
                                        new ListedHost(
                                                OTHER.host(),
                                                Optional.of(OTHER.address()),
                                                OTHER.domain(),
                                                "r",
                                                Optional.empty())));
        new Membership(
                        SELF,
                        network(),
                        directory,
                        mScheduler,
                        mRandom,
                        (kind, subject, text) -> {},
                        MembershipSettings.DEFAULT)
                .start();
    }

    private void followConfiguration() {
        MemberView members = membersOfOne();
        mThrows = false;
        new ConfigurationService(
                        new ConfigurationStore(mMemoryStore, mScheduler, mTokens),
                        new ConfigurationInForce(new Invariants(), (kind, subject, text) -> {}),
                        members,
                        network(),
                        mScheduler,
                        mRandom)
                .start();
        mThrows = true;
    }

    private MemberView membersOfOne() {
        MemberView members =
                new MemberView() {
                    @Override
                    public Member self() {
                        return SELF;
                    }

                    @Override
                    public List<Member> members() {
                        return List.of(SELF, OTHER);
                    }

                    @Override
                    public Optional<Member> member(Identity host) {
                        return Optional.of(SELF);
                    }

                    @Override
                    public boolean isReachable(Member member) {
                        return true;
                    }
                };
        return throwing(MemberView.class, members, "self");
    }
}
