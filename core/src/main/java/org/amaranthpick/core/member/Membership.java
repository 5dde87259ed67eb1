package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.DomainHeartbeat;
import org.amaranthpick.core.member.MemberMessage.DomainTable;
import org.amaranthpick.core.member.MemberMessage.Heartbeat;
import org.amaranthpick.core.member.MemberMessage.Join;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.ProbeReply;
import org.amaranthpick.core.member.MemberMessage.ProbeRequest;
import org.amaranthpick.core.member.MemberMessage.TableRequest;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.member.MemberMessage.UrgentUpdates;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Gossip membership of the daemons. Daemons of a failure domain probe each other, relays exchange
 * heartbeats between domains, tables whose digests differ are exchanged, and the platform's host
 * directory adds joining and leaving hosts. Thread-safe; readers never block.
 */
public final class Membership implements MemberView, AutoCloseable {
    private static final int JOIN_CONTACTS = 3;
    private static final int MAX_PERIODS_BETWEEN_STEPS = 2;

    private final Object mLock = new Object();
    private final MembershipState mState;
    private final Scheduler mScheduler;
    private final TaskGuard mGuard;
    private final HostDirectory mDirectory;
    private final RandomGenerator mRandom;
    private final Broadcaster mBroadcaster;
    private final HostDirectoryCache mHostDirectory;
    private final Prober mProber;
    private final DomainMonitor mDomainMonitor;
    private final TableSync mSync;
    private final MemberSnapshot mSnapshot;
    private Optional<Cancellable> mTimer = Optional.empty();
    private long mLastStepNs;
    private long mLastDirectoryReadNs;
    private boolean mDirectoryRead;
    private boolean mClosed;

    /**
     * Creates the membership; it does nothing before {@link #start()}.
     *
     * @param self this daemon, with the incarnation {@link Incarnations#atStart}
     * @param network network between daemons
     * @param directory the platform's host directory
     * @param scheduler clocks and timers
     * @param random source of random choices
     * @param log records each change
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
        mGuard = new TaskGuard(scheduler);
        mDirectory = directory;
        mRandom = random;
        mBroadcaster = new Broadcaster(mLock, mState);
        mHostDirectory = new HostDirectoryCache(mState);
        mProber = new Prober(mState, mBroadcaster, random);
        mDomainMonitor = new DomainMonitor(mState, mHostDirectory, random);
        mSync = new TableSync(mState);
        mSnapshot = new MemberSnapshot(self);
        mSnapshot.refresh(mState);
    }

    /** Registers the message handlers, reads the host directory and starts probing. */
    public void start() {
        for (int tag = MemberMessage.TAG_PING; tag <= MemberMessage.TAG_URGENT_UPDATES; tag++) {
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
     * Sets the source and receiver of the configuration generations that heartbeats carry.
     *
     * @param exchange called under the lock of the membership
     */
    public void setGenerationExchange(GenerationExchange exchange) {
        synchronized (mLock) {
            mState.setGenerationExchange(exchange);
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
     * Returns the domains that this domain cannot reach now. Their daemons stay members.
     *
     * @return unreachable domains
     */
    public Set<Identity> unreachableDomains() {
        return mSnapshot.unreachableDomains();
    }

    /**
     * Finds the peer address of a daemon, also of one known only from the host directory. Never
     * blocks.
     *
     * @param host identity of kind HOST
     * @return its address, if known
     */
    public Optional<PeerAddress> addressOf(Identity host) {
        return mSnapshot.addressOf(host);
    }

    /**
     * Returns the hosts and upstreams that are leaving.
     *
     * @return view that never blocks
     */
    public LeavingView leaving() {
        return mState.leaving();
    }

    /** Announces to all daemons that this one is leaving. This holds until the process ends. */
    public void announceLeaving() {
        synchronized (mLock) {
            if (mState.self().state() != MemberState.LEAVING) {
                mState.updateSelf(MemberState.LEAVING, mState.self().incarnation());
                mBroadcaster.broadcastRepeatedly(
                        new Updates(List.of(mState.self()), List.of(), List.of()));
                mSnapshot.refresh(mState);
            }
        }
    }

    /**
     * Announces to all daemons that a host or upstream is leaving, or is back with another boot. A
     * notice that changes nothing is not sent: a boot that was announced as leaving stays so, and
     * only another boot is back.
     *
     * @param target identity of kind HOST or UPSTREAM
     * @param domain failure domain of the target
     * @param bootId boot of the target
     * @param leaving true if the target accepts no new work
     */
    public void publishLeavingNotice(
            Identity target, Identity domain, String bootId, boolean leaving) {
        synchronized (mLock) {
            Optional<LeavingNotice> current = mState.leaving().notice(target);
            boolean sameBoot = current.map(n -> n.bootId().equals(bootId)).orElse(!leaving);
            boolean noChange = current.map(LeavingNotice::leaving).orElse(false) || !leaving;
            if (sameBoot && noChange) {
                return;
            }
            long nowMs = mScheduler.instant().toEpochMilli();
            long sequenceMs = Math.max(nowMs, current.map(n -> n.sequenceMs() + 1).orElse(0L));
            LeavingNotice notice = new LeavingNotice(target, domain, bootId, leaving, sequenceMs);
            Updates applied = mState.apply(new Updates(List.of(), List.of(notice), List.of()));
            if (!applied.isEmpty()) {
                mBroadcaster.broadcastRepeatedly(applied);
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
            mGuard.run("members", () -> probe(paused), () -> scheduleStep(period));
            if (!isDirectoryDue(nowNs)) {
                return;
            }
            mLastDirectoryReadNs = nowNs;
        }
        readDirectory();
    }

    private void probe(boolean paused) {
        if (paused) {
            mDomainMonitor.onPaused();
        }
        mState.expire();
        mProber.step(paused);
        mScheduler.schedule(mState.settings().ackTimeout(), this::probeIndirectly);
        if (mSync.isJoined()) {
            mDomainMonitor.step();
        } else {
            join();
        }
        mSnapshot.setUnreachable(mState.unreachableDomains());
        mSnapshot.refresh(mState);
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
        boolean readsDirectory = !mSync.isJoined() || mState.isRelay();
        return readsDirectory && nowNs - mLastDirectoryReadNs >= periodNs;
    }

    private void readDirectory() {
        mDirectory.read().thenAccept(this::onDirectory);
    }

    private void onDirectory(List<ListedHost> hosts) {
        synchronized (mLock) {
            if (hosts.isEmpty() || mClosed) {
                return;
            }
            mDirectoryRead = true;
            mSnapshot.setListedAddresses(hosts);
            Updates applied = mHostDirectory.onRead(hosts);
            if (!applied.isEmpty()) {
                mBroadcaster.broadcastRepeatedly(applied);
            }
            join();
            mSnapshot.refresh(mState);
        }
    }

    /** Sends a join to some listed daemons of this domain that are unknown or dead here. */
    private void join() {
        List<Identity> contacts = new ArrayList<>(mHostDirectory.daemonsOf(mState.ownDomain()));
        contacts.removeIf(this::isLive);
        Shuffle.shuffle(contacts, mRandom);
        contacts.stream()
                .limit(JOIN_CONTACTS)
                .forEach(host -> mState.network().send(host, new Join(mState.self())));
        if (contacts.isEmpty() && mDirectoryRead) {
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
                mState.requestRefutation(from);
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
        } else if (message instanceof DomainTable table) {
            mSync.onTable(from, table);
        } else if (message instanceof DomainHeartbeat domainHeartbeat) {
            onDomainHeartbeat(from, domainHeartbeat);
        } else if (message instanceof UrgentUpdates urgentUpdates) {
            onUrgentUpdates(from, urgentUpdates);
        }
    }

    private void onHeartbeat(Identity from, Heartbeat heartbeat) {
        mState.apply(heartbeat.updates());
        mSync.onDomainPeerDigest(from, heartbeat.tableDigest());
        mState.generationExchange().onPeerGeneration(from, heartbeat.generation());
    }

    private void onDomainHeartbeat(Identity from, DomainHeartbeat domainHeartbeat) {
        mDomainMonitor.onHeartbeat(domainHeartbeat);
        mState.apply(domainHeartbeat.heartbeat().updates());
        mSync.onDomainHeartbeat(from, domainHeartbeat);
        mState.generationExchange()
                .onPeerGeneration(from, domainHeartbeat.heartbeat().generation());
    }

    private void onJoin(Identity from, Join join) {
        mState.apply(new Updates(List.of(join.member()), List.of(), List.of()));
        mSync.sendAll(from);
    }

    private void onUrgentUpdates(Identity from, UrgentUpdates urgentUpdates) {
        Updates applied = mState.apply(urgentUpdates.updates());
        boolean fromOtherDomain =
                mState.table()
                        .find(from)
                        .filter(member -> !member.domain().equals(mState.ownDomain()))
                        .isPresent();
        if (fromOtherDomain) {
            mBroadcaster.forward(urgentUpdates.updates(), applied);
        }
    }
}
