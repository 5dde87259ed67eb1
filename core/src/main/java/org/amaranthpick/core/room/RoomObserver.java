package org.amaranthpick.core.room;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.register.PeerDaemon;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Observes the load of engines for the fleet, and spreads what is worth telling. Designed for
 * bursts and waves of callers in fleets where each daemon sees a small part of the requests. Each
 * engine is queried by one daemon; a load below {@link #TOLD_FILL} is not told, so that calm days
 * cost a query every two seconds for each engine and no messages but those between a few daemons.
 * News goes over about the square root of the daemons to all others, so that no small host sends to
 * hundreds. Nothing is repeated: what is lost is replaced by the next observation. Confined to one
 * thread.
 */
public final class RoomObserver {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Number of daemons from which one sees too little of the traffic by itself. */
    static final int MIN_DAEMONS = 16;

    /** Fill from which a load is told to all daemons. */
    static final double TOLD_FILL = 0.7;

    private static final Duration CALM_PERIOD = Duration.ofSeconds(2);

    /** Time after which queries that have not ended don't delay the next ones. */
    private static final Duration ROUND_TIMEOUT = CALM_PERIOD.multipliedBy(2);

    private static final Duration LOADED_PERIOD = Duration.ofSeconds(1);

    private static final String TASK = "engine loads";
    private static final double PERCENT = 100;
    private static final int MAX_FILL_PERCENT = 1000;
    private static final int MAX_LOADS = 1024;
    private static final int MAX_FORWARDS = 64;

    private final ObservationDuties mDuties;
    private final Supplier<List<PeerDaemon>> mDaemons;
    private final Supplier<List<UpstreamEntry>> mEngines;
    private final EngineControl mControl;
    private final ReportedRoom mRoom;
    private final BiConsumer<String, RoomNews> mSender;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final RandomGenerator mRandom;
    private final TaskGuard mGuard;
    private final Map<String, Group> mGroups = new HashMap<>();

    /** What this daemon knows of a group that it observes. */
    private static final class Group {
        private final Map<String, EngineLoad> mLoads = new HashMap<>();
        private final Set<String> mTold = new HashSet<>();
        private Round mRound = new Round(Long.MIN_VALUE / 2, 0);

        private boolean isLoaded() {
            return mLoads.values().stream().anyMatch(load -> load.fill() >= TOLD_FILL);
        }
    }

    /** Queries to all engines of a group at the same time. */
    private static final class Round {
        private final long mStartedNs;
        private int mPending;
        private boolean mReported;

        Round(long startedNs, int pending) {
            mStartedNs = startedNs;
            mPending = pending;
        }
    }

    /**
     * Creates an observer.
     *
     * @param member this daemon among the others
     * @param engines returns the registered engines
     * @param control queries engines
     * @param room receives what is observed here and elsewhere
     * @param sender sends news to the daemon at an address, without a promise that it arrives
     * @param scheduler clock
     * @param executor runs all callbacks, one at a time
     */
    public RoomObserver(
            Member member,
            Supplier<List<UpstreamEntry>> engines,
            EngineControl control,
            ReportedRoom room,
            BiConsumer<String, RoomNews> sender,
            Scheduler scheduler,
            Executor executor) {
        mDuties = new ObservationDuties(member.address(), member.domain(), member.daemons());
        mDaemons = member.daemons();
        mRandom = member.random();
        mEngines = engines;
        mControl = control;
        mRoom = room;
        mSender = sender;
        mScheduler = scheduler;
        mExecutor = executor;
        mGuard = new TaskGuard(scheduler);
    }

    /**
     * This daemon among the others.
     *
     * @param address address at which it accepts messages
     * @param domain its failure domain
     * @param daemons returns the other daemons
     * @param random source of the paths of news
     */
    public record Member(
            String address,
            String domain,
            Supplier<List<PeerDaemon>> daemons,
            RandomGenerator random) {}

    /** Queries the engines that are due. Called several times a second. */
    public void step() {
        if (mDaemons.get().size() + 1 < MIN_DAEMONS) {
            return;
        }
        long nowNs = mScheduler.monotonicNs();
        Map<String, List<UpstreamEntry>> groups = mDuties.groups(mEngines.get());
        mGroups.keySet().retainAll(groups.keySet());
        mRoom.forgetOld(nowNs);
        groups.forEach(
                (duty, engines) -> {
                    if (mDuties.hasDuty(duty, nowNs)) {
                        queryIfDue(duty, engines, nowNs);
                    } else {
                        mGroups.remove(duty);
                    }
                });
    }

    private void queryIfDue(String duty, List<UpstreamEntry> engines, long nowNs) {
        Group group =
                mGroups.computeIfAbsent(
                        duty,
                        key -> {
                            sLogger.atInfo().log(
                                    "loads: observing group=%s engines=%d", duty, engines.size());
                            return new Group();
                        });
        Duration period = group.isLoaded() ? LOADED_PERIOD : CALM_PERIOD;
        long sinceNs = nowNs - group.mRound.mStartedNs;
        boolean underWay = group.mRound.mPending > 0 && sinceNs < ROUND_TIMEOUT.toNanos();
        if (underWay || sinceNs < period.toNanos()) {
            return;
        }
        Round round = new Round(nowNs, engines.size());
        group.mRound = round;
        group.mLoads.keySet().retainAll(engines.stream().map(UpstreamEntry::id).toList());
        for (UpstreamEntry engine : engines) {
            mGuard.call(
                    TASK,
                    mExecutor,
                    () -> mControl.fetchReport(engine),
                    report -> onReport(group, engine, report),
                    () -> onQueryEnd(duty, group, round));
        }
    }

    private void onReport(Group group, UpstreamEntry engine, EngineReport report) {
        long nowNs = mScheduler.monotonicNs();
        if (report instanceof EngineReport.Present present) {
            EngineLoad load = new EngineLoad(engine.id(), fill(engine, present), nowNs);
            group.mLoads.put(engine.id(), load);
            group.mRound.mReported = true;
            mRoom.onLoad(load);
        } else {
            group.mLoads.remove(engine.id());
        }
    }

    private void onQueryEnd(String duty, Group group, Round round) {
        round.mPending--;
        if (round.mPending == 0 && round == group.mRound) {
            tell(duty, group, mScheduler.monotonicNs());
        }
    }

    /** Returns the part of the memory or, at a first engine, of the slots that is taken. */
    static double fill(UpstreamEntry engine, EngineReport.Present report) {
        double memory = (double) report.usedTokenLayers() / Math.max(1, report.totalTokenLayers());
        double slots = (double) (report.running() + report.queued()) / Math.max(1, engine.slots());
        return Math.max(0, Math.max(report.queued() > 0 ? Math.max(1, memory) : memory, slots));
    }

    /** Sends all daemons the loads of engines that are loaded, or no longer are. */
    private void tell(String duty, Group group, long nowNs) {
        boolean wasLoaded = !group.mTold.isEmpty();
        List<RoomNews.Load> loads = new ArrayList<>();
        for (EngineLoad load : group.mLoads.values()) {
            boolean loaded = load.fill() >= TOLD_FILL;
            boolean wasTold = !loaded && group.mTold.remove(load.engineId());
            if (loaded) {
                group.mTold.add(load.engineId());
            }
            if (loaded || wasTold) {
                int percent = (int) Math.min(MAX_FILL_PERCENT, load.fill() * PERCENT);
                int ageMs = (int) Duration.ofNanos(nowNs - load.observedNs()).toMillis();
                loads.add(new RoomNews.Load(load.engineId(), percent, ageMs));
            }
        }
        if (wasLoaded == group.mTold.isEmpty()) {
            sLogger.atInfo().log("loads: group=%s loaded=%s", duty, group.mTold);
        }
        if (loads.isEmpty() && !group.mRound.mReported) {
            // A daemon that reaches no engine of the group leaves it to the next in rank.
            return;
        }
        if (loads.isEmpty()) {
            mDuties.successors(duty)
                    .forEach(peer -> mSender.accept(peer, new RoomNews(duty, loads, List.of())));
        } else {
            spread(duty, loads);
        }
    }

    private void spread(String duty, List<RoomNews.Load> loads) {
        List<String> peers =
                new ArrayList<>(mDaemons.get().stream().map(PeerDaemon::address).toList());
        int width = (int) Math.ceil(Math.sqrt(peers.size()));
        while (!peers.isEmpty()) {
            String first = removeRandom(peers);
            List<String> branch = new ArrayList<>();
            while (branch.size() < width - 1 && !peers.isEmpty()) {
                branch.add(removeRandom(peers));
            }
            mSender.accept(first, new RoomNews(duty, loads, branch));
        }
    }

    private String removeRandom(List<String> peers) {
        return peers.remove(mRandom.nextInt(peers.size()));
    }

    /**
     * Handles news of another daemon, and passes it on.
     *
     * @param news the news
     */
    public void onNews(RoomNews news) {
        long nowNs = mScheduler.monotonicNs();
        mDuties.onHeard(news.duty(), nowNs);
        news.loads().stream()
                .limit(MAX_LOADS)
                .filter(RoomNews.Load::isValid)
                .forEach(
                        load ->
                                mRoom.onLoad(
                                        new EngineLoad(
                                                load.engineId(),
                                                Math.min(MAX_FILL_PERCENT, load.fillPercent())
                                                        / PERCENT,
                                                nowNs
                                                        - Duration.ofMillis(load.ageMs())
                                                                .toNanos())));
        Set<String> known = new HashSet<>();
        mDaemons.get().forEach(daemon -> known.add(daemon.address()));
        RoomNews passedOn = new RoomNews(news.duty(), news.loads(), List.of());
        news.forwardTo().stream()
                .filter(known::contains)
                .limit(MAX_FORWARDS)
                .forEach(peer -> mSender.accept(peer, passedOn));
    }
}
