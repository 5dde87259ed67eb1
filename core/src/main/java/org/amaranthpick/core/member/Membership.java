package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.Beat;
import org.amaranthpick.core.member.MemberMessage.Heartbeat;
import org.amaranthpick.core.member.MemberMessage.Join;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.ProbeReply;
import org.amaranthpick.core.member.MemberMessage.ProbeRequest;
import org.amaranthpick.core.member.MemberMessage.Table;
import org.amaranthpick.core.member.MemberMessage.TableRequest;
import org.amaranthpick.core.member.MemberMessage.UrgentNews;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Membership of this daemon: probing within the failure domain, relays between domains, tables
 * compared by digest, and the platform's host list. Thread-safe; readers never wait.
 */
public final class Membership implements MemberView, AutoCloseable {
    private static final int JOIN_CONTACTS = 3;
    private static final int MAX_PERIODS_BETWEEN_STEPS = 2;

    private final Object mLock = new Object();
    private final MembershipState mState;
    private final Scheduler mScheduler;
    private final HostDirectory mDirectory;
    private final RandomGenerator mRandom;
    private final Broadcaster mBroadcaster;
    private final HostList mHosts;
    private final Prober mProber;
    private final DomainLinks mLinks;
    private final TableSync mSync;
    private final MemberSnapshot mSnapshot;
    private Optional<Cancellable> mTimer = Optional.empty();
    private long mLastStepNs;
    private long mDirectoryReadNs;
    private boolean mDirectoryKnown;
    private boolean mClosed;

    /**
     * Creates the membership; it does nothing before {@link #start()}.
     *
     * @param self this daemon, with the incarnation {@link Incarnations#atStart}
     * @param network network between daemons
     * @param directory the platform's host list
     * @param scheduler clocks and timers
     * @param random source of random choices
     * @param log told of each change
     * @param settings settings
     */
    public Membership(
            Member self,
            PeerNetwork network,
            HostDirectory directory,
            Scheduler scheduler,
            RandomGenerator random,
            DecisionLog log,
            MembershipSettings settings) {
        mState = new MembershipState(self, network, scheduler, log, settings);
        mScheduler = scheduler;
        mDirectory = directory;
        mRandom = random;
        mBroadcaster = new Broadcaster(mLock, mState);
        mHosts = new HostList(mState);
        mProber = new Prober(mState, mBroadcaster, random);
        mLinks = new DomainLinks(mState, mHosts, random);
        mSync = new TableSync(mState);
        mSnapshot = new MemberSnapshot(self);
        mSnapshot.refresh(mState);
    }

    /** Registers the message handlers, reads the host list and starts probing. */
    public void start() {
        for (int tag = MemberMessage.TAG_PING; tag <= MemberMessage.TAG_NEWS; tag++) {
            mState.network().handle(tag, this::onMessage);
        }
        readDirectory();
        synchronized (mLock) {
            mLastStepNs = mScheduler.monotonicNs();
            long periodNs = mState.settings().probePeriod().toNanos();
            scheduleStep(Duration.ofNanos(mRandom.nextLong(periodNs)));
        }
    }

    /**
     * Lets heartbeats carry the configuration generation.
     *
     * @param exchange source and receiver of generations; called under the membership's lock
     */
    public void exchangeGenerations(GenerationExchange exchange) {
        synchronized (mLock) {
            mState.exchangeWith(exchange);
        }
    }

    @Override
    public Member self() {
        return mSnapshot.self();
    }

    @Override
    public List<Member> members() {
        return mSnapshot.members();
    }

    @Override
    public Optional<Member> member(Identity host) {
        return mSnapshot.member(host);
    }

    @Override
    public boolean isReachable(Member member) {
        return mSnapshot.isReachable(member);
    }

    /**
     * Returns the domains that this domain cannot reach now. Their daemons stay known.
     *
     * @return unreachable domains
     */
    public Set<Identity> unreachableDomains() {
        return mSnapshot.unreachableDomains();
    }

    /**
     * Finds the peer address of a daemon, also of one known from the host list only. Never waits.
     *
     * @param host identity of kind HOST
     * @return its address, if known
     */
    public Optional<PeerAddress> addressOf(Identity host) {
        return mSnapshot.addressOf(host);
    }

    /**
     * Returns what is leaving.
     *
     * @return view that never waits
     */
    public LeavingView leaving() {
        return mState.leaving();
    }

    /** Tells all daemons that this one is leaving. It stays so until the process ends. */
    public void announceLeaving() {
        synchronized (mLock) {
            if (mState.self().state() != MemberState.LEAVING) {
                mState.updateSelf(MemberState.LEAVING, mState.self().incarnation());
                mBroadcaster.tellAllRepeatedly(
                        new News(List.of(mState.self()), List.of(), List.of()));
                mSnapshot.refresh(mState);
            }
        }
    }

    /**
     * Tells all daemons that a host or upstream is leaving, or is back with another boot.
     *
     * @param target identity of kind HOST or UPSTREAM
     * @param domain failure domain of the target
     * @param bootId boot of the target
     * @param leaving true if it takes no new work
     */
    public void tellLeaving(Identity target, Identity domain, String bootId, boolean leaving) {
        synchronized (mLock) {
            Optional<LeavingNotice> held = mState.leaving().notice(target);
            boolean sameBoot = held.map(n -> n.bootId().equals(bootId)).orElse(!leaving);
            boolean nothingNew = held.map(LeavingNotice::leaving).orElse(false) || !leaving;
            if (sameBoot && nothingNew) {
                return;
            }
            long nowMs = mScheduler.instant().toEpochMilli();
            long sequenceMs = Math.max(nowMs, held.map(n -> n.sequenceMs() + 1).orElse(0L));
            LeavingNotice notice = new LeavingNotice(target, domain, bootId, leaving, sequenceMs);
            News fresh = mState.apply(new News(List.of(), List.of(notice), List.of()));
            if (!fresh.isEmpty()) {
                mBroadcaster.tellAllRepeatedly(fresh);
            }
        }
    }

    @Override
    public void close() {
        synchronized (mLock) {
            mClosed = true;
            mTimer.ifPresent(Cancellable::cancel);
        }
    }

    private void step() {
        synchronized (mLock) {
            if (mClosed) {
                return;
            }
            long nowNs = mScheduler.monotonicNs();
            Duration period = mState.settings().probePeriod();
            boolean paused = nowNs - mLastStepNs > period.toNanos() * MAX_PERIODS_BETWEEN_STEPS;
            mLastStepNs = nowNs;
            if (paused) {
                mLinks.onPaused();
            }
            mState.expire();
            mProber.step(paused);
            mScheduler.schedule(mState.settings().ackTimeout(), this::probeIndirectly);
            if (mSync.isJoined()) {
                mLinks.step();
            } else {
                join();
            }
            mSnapshot.setUnreachable(mState.unreachableDomains());
            mSnapshot.refresh(mState);
            scheduleStep(period);
            if (!isDirectoryDue(nowNs)) {
                return;
            }
            mDirectoryReadNs = nowNs;
        }
        readDirectory();
    }

    private void probeIndirectly() {
        synchronized (mLock) {
            if (!mClosed) {
                mProber.probeIndirectly();
            }
        }
    }

    private void scheduleStep(Duration delay) {
        mTimer = Optional.of(mScheduler.schedule(delay, this::step));
    }

    private boolean isDirectoryDue(long nowNs) {
        long periodNs = mState.settings().directoryPeriod().toNanos();
        boolean reader = !mSync.isJoined() || mState.isRelay();
        return reader && nowNs - mDirectoryReadNs >= periodNs;
    }

    private void readDirectory() {
        mDirectory.read().thenAccept(this::onDirectory);
    }

    private void onDirectory(List<ListedHost> hosts) {
        synchronized (mLock) {
            if (hosts.isEmpty() || mClosed) {
                return;
            }
            mDirectoryKnown = true;
            mSnapshot.setListed(hosts);
            News fresh = mHosts.onRead(hosts);
            if (!fresh.isEmpty()) {
                mBroadcaster.tellAllRepeatedly(fresh);
            }
            join();
            mSnapshot.refresh(mState);
        }
    }

    /** Introduces this daemon to listed daemons of its domain that it does not know alive. */
    private void join() {
        List<Identity> contacts = new ArrayList<>(mHosts.daemonsOf(mState.ownDomain()));
        contacts.removeIf(this::isLive);
        Shuffle.shuffle(contacts, mRandom);
        contacts.stream()
                .limit(JOIN_CONTACTS)
                .forEach(host -> mState.network().send(host, new Join(mState.self())));
        if (contacts.isEmpty() && mDirectoryKnown) {
            mSync.setJoined();
        }
    }

    private boolean isLive(Identity host) {
        return mState.table()
                .find(host)
                .filter(member -> member.state() != MemberState.DEAD)
                .isPresent();
    }

    private void onMessage(Identity from, PeerMessage message) {
        synchronized (mLock) {
            if (mClosed) {
                return;
            }
            boolean dead =
                    mState.table()
                            .find(from)
                            .filter(member -> member.state() == MemberState.DEAD)
                            .isPresent();
            if (dead) {
                mState.rebut(from);
            }
            dispatch(from, (MemberMessage) message);
            mSnapshot.refresh(mState);
        }
    }

    private void dispatch(Identity from, MemberMessage message) {
        if (message instanceof Ping ping) {
            onHeartbeat(from, ping.heartbeat());
            mProber.onPing(from, ping);
        } else if (message instanceof Ack ack) {
            onHeartbeat(from, ack.heartbeat());
            mProber.onAck(from, ack);
        } else if (message instanceof ProbeRequest request) {
            mProber.onProbeRequest(from, request);
        } else if (message instanceof ProbeReply reply) {
            mProber.onProbeReply(reply);
        } else if (message instanceof Join join) {
            onJoin(from, join);
        } else if (message instanceof TableRequest request) {
            mSync.onRequest(from, request);
        } else if (message instanceof Table table) {
            mSync.onTable(from, table);
        } else if (message instanceof Beat beat) {
            onBeat(from, beat);
        } else if (message instanceof UrgentNews urgent) {
            onUrgentNews(from, urgent);
        }
    }

    private void onHeartbeat(Identity from, Heartbeat heartbeat) {
        mState.apply(heartbeat.news());
        mSync.onNeighbourDigest(from, heartbeat.tableDigest());
        mState.exchange().onHeard(from, heartbeat.generation());
    }

    private void onBeat(Identity from, Beat beat) {
        mLinks.onBeat(beat);
        mState.apply(beat.heartbeat().news());
        mSync.onBeat(from, beat);
        mState.exchange().onHeard(from, beat.heartbeat().generation());
    }

    private void onJoin(Identity from, Join join) {
        mState.apply(new News(List.of(join.member()), List.of(), List.of()));
        mSync.sendAll(from);
    }

    private void onUrgentNews(Identity from, UrgentNews urgent) {
        News fresh = mState.apply(urgent.news());
        boolean outside =
                mState.table()
                        .find(from)
                        .filter(member -> !member.domain().equals(mState.ownDomain()))
                        .isPresent();
        if (outside) {
            mBroadcaster.passOn(urgent.news(), fresh);
        }
    }
}
