package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Limits shared between all daemons. Each failure domain grants a fixed quota of every limit
 * through one coordinator per shard of workspaces; this daemon requests shares from the
 * coordinators according to its demand. The shares of all daemons together never exceed the limit,
 * whatever messages are lost or whatever hosts are partitioned.
 */
public final class SharedLimits implements WorkspaceLimits, Controller {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration REQUEST_DELAY = Duration.ofMillis(2);
    private static final Duration RESEND_DELAY = Duration.ofMillis(50);
    private static final long GRANT_TIMEOUT_NS = Duration.ofMillis(200).toNanos();
    private static final long SEQUENCES_PER_MS = 1_000;
    private static final int STEPS_PER_RENEWAL = 2;
    private static final int STEPS_PER_DOMAIN = 4;
    private static final long BORROW_DELAY_NS = Duration.ofMillis(500).toNanos();

    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final ShareCoordinators mCoordinators;
    private final ShareAllocator mAllocator;
    private final Map<Identity, ShareAccount> mAccounts = new HashMap<>();
    private final Map<Identity, PendingRequest> mPendingRequests = new HashMap<>();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private DomainQuotas mQuotas;
    private long mGeneration;
    private long mSequence;
    private boolean mRequestScheduled;
    private int mStepCount;

    /** Share request without an answer. */
    private record PendingRequest(long sequence, Identity domain, long sentNs) {}

    /** Domain and its coordinator. */
    private record Target(Identity domain, Identity coordinator) {}

    /**
     * Environment of shared limits.
     *
     * @param configuration configuration in force
     * @param members membership of the daemons
     * @param peers network to the other daemons
     * @param scheduler clock and timers
     * @param log decision log that records the start of every coordinator term
     * @param invariants receiver of invariant checks
     */
    public record Context(
            ConfigurationView configuration,
            MemberView members,
            PeerNetwork peers,
            Scheduler scheduler,
            DecisionLog log,
            Invariants invariants) {}

    /**
     * Creates limits without shares and registers the message handlers.
     *
     * @param context environment
     */
    public SharedLimits(Context context) {
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mSequence = mScheduler.instant().toEpochMilli() * SEQUENCES_PER_MS;
        mCoordinators =
                new ShareCoordinators(
                        mMembers, mPeers, mScheduler, context.log(), this::idleShards);
        mAllocator =
                new ShareAllocator(
                        mCoordinators, mConfiguration, mMembers, mScheduler, context.invariants());
        mPeers.handle(
                ShareMessage.CANDIDACY_TAG,
                (from, message) ->
                        mCoordinators.onCandidacy(from, (ShareMessage.Candidacy) message));
        mPeers.handle(
                ShareMessage.VOTE_TAG,
                (from, message) -> mCoordinators.onVote(from, (ShareMessage.Vote) message));
        mPeers.handle(
                ShareMessage.REQUEST_TAG,
                (from, message) ->
                        mPeers.send(
                                from, mAllocator.grant(from, (ShareMessage.ShareRequest) message)));
        mPeers.handle(
                ShareMessage.GRANT_TAG,
                (from, message) -> onGrant(from, (ShareMessage.Grant) message));
    }

    @Override
    public String name() {
        return "shared-limits";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public void step() {
        mStepCount++;
        boolean renewAll = mStepCount % STEPS_PER_RENEWAL == 0;
        if (renewAll) {
            mCoordinators.step();
        }
        synchronized (this) {
            mAccounts.values().forEach(ShareAccount::updateDemandAverages);
        }
        sendRequests(renewAll);
    }

    @Override
    public synchronized boolean tryStart(WorkspaceSpec workspace, int tokens) {
        return account(workspace).tryStart(tokens, mScheduler.monotonicNs());
    }

    @Override
    public synchronized void finish(WorkspaceSpec workspace, int chargedTokens, int usedTokens) {
        account(workspace).finish(chargedTokens, usedTokens);
    }

    @Override
    public synchronized void reportWaiting(WorkspaceSpec workspace, int requests, long tokens) {
        ShareAccount account = account(workspace);
        account.setWaiting(requests, tokens, mScheduler.monotonicNs());
        if (requests > 0 && !mRequestScheduled) {
            mRequestScheduled = true;
            var unused = mScheduler.schedule(REQUEST_DELAY, () -> sendRequests(false));
        }
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the number of slots that this daemon holds.
     *
     * @param workspace the workspace
     * @return number of requests that may be in progress
     */
    public synchronized int slots(WorkspaceSpec workspace) {
        ShareAccount account = mAccounts.get(workspace.id());
        return account == null ? 0 : account.slots(mScheduler.monotonicNs());
    }

    private ShareAccount account(WorkspaceSpec workspace) {
        return mAccounts.computeIfAbsent(
                workspace.id(), key -> new ShareAccount(workspace, mScheduler.monotonicNs()));
    }

    /** Sends one share request per coordinator, unless one is awaiting its answer. */
    private void sendRequests(boolean allAccounts) {
        Map<Identity, ShareMessage.ShareRequest> shareRequests = new HashMap<>();
        synchronized (this) {
            mRequestScheduled = false;
            Optional<Configuration> configuration = mConfiguration.current();
            if (configuration.isEmpty()) {
                return;
            }
            updateQuotas(configuration.get());
            collectEntries(allAccounts)
                    .forEach(
                            (target, entries) ->
                                    shareRequests.put(
                                            target.coordinator(), newRequest(target, entries)));
        }
        shareRequests.forEach(this::send);
    }

    private void updateQuotas(Configuration configuration) {
        if (configuration.generation() != mGeneration) {
            mQuotas = new DomainQuotas(configuration);
            mGeneration = configuration.generation();
        }
    }

    private ShareMessage.ShareRequest newRequest(
            Target target, List<ShareMessage.RequestEntry> entries) {
        mSequence++;
        mPendingRequests.put(
                target.coordinator(),
                new PendingRequest(mSequence, target.domain(), mScheduler.monotonicNs()));
        return new ShareMessage.ShareRequest(mSequence, entries);
    }

    private Map<Target, List<ShareMessage.RequestEntry>> collectEntries(boolean allAccounts) {
        long nowNs = mScheduler.monotonicNs();
        Map<Target, List<ShareMessage.RequestEntry>> entries = new HashMap<>();
        Iterator<ShareAccount> accounts = mAccounts.values().iterator();
        while (accounts.hasNext()) {
            ShareAccount account = accounts.next();
            if (!allAccounts && !account.isStarvedFor(0, nowNs)) {
                continue;
            }
            for (Target target : targets(account, nowNs)) {
                PendingRequest pending = mPendingRequests.get(target.coordinator());
                if (pending == null || nowNs - pending.sentNs() >= GRANT_TIMEOUT_NS) {
                    entries.computeIfAbsent(target, key -> new ArrayList<>())
                            .add(account.newRequestEntry(target.domain(), !isLocal(target), nowNs));
                }
            }
            if (account.isIdle(nowNs)) {
                accounts.remove();
            }
        }
        return entries;
    }

    /**
     * Lists the coordinators to send a request to: that of the local domain, those of domains that
     * have granted slots already, and in turn that of one other domain while requests have been
     * waiting for some time.
     */
    private List<Target> targets(ShareAccount account, long nowNs) {
        Identity workspace = account.workspace().id();
        int shard = ShareCoordinators.shard(DomainQuotas.workspaceCode(workspace));
        Identity localDomain = mMembers.self().domain();
        List<Identity> domains = new ArrayList<>(mQuotas.domains(workspace));
        Set<Identity> requestedDomains = new LinkedHashSet<>();
        boolean hasLocalQuota = domains.remove(localDomain);
        if (hasLocalQuota) {
            requestedDomains.add(localDomain);
        }
        requestedDomains.addAll(account.lendingDomains(nowNs));
        if (!domains.isEmpty()
                && (!hasLocalQuota || account.isStarvedFor(BORROW_DELAY_NS, nowNs))) {
            requestedDomains.add(domains.get(mStepCount / STEPS_PER_DOMAIN % domains.size()));
        }
        List<Target> targets = new ArrayList<>();
        for (Identity domain : requestedDomains) {
            mCoordinators
                    .coordinator(shard, domain)
                    .ifPresent(coordinator -> targets.add(new Target(domain, coordinator)));
        }
        return targets;
    }

    private boolean isLocal(Target target) {
        return target.domain().equals(mMembers.self().domain());
    }

    private long idleShards() {
        long idleShards = -1L;
        synchronized (this) {
            long nowNs = mScheduler.monotonicNs();
            Identity localDomain = mMembers.self().domain();
            for (PendingRequest pending : mPendingRequests.values()) {
                boolean valid = nowNs - pending.sentNs() < ShareTimings.LEASE.toNanos();
                if (valid && pending.domain().equals(localDomain)) {
                    return 0;
                }
            }
            for (ShareAccount account : mAccounts.values()) {
                if (account.slots(nowNs) > 0) {
                    long workspaceCode = DomainQuotas.workspaceCode(account.workspace().id());
                    idleShards &= ~(1L << ShareCoordinators.shard(workspaceCode));
                }
            }
        }
        return idleShards;
    }

    private void send(Identity coordinator, ShareMessage.ShareRequest request) {
        Identity self = mMembers.self().host();
        if (coordinator.equals(self)) {
            onGrant(self, mAllocator.grant(self, request));
        } else {
            mPeers.send(coordinator, request);
        }
    }

    /** Schedules another share request if requests are waiting for limits. */
    private synchronized void requestAgainIfStarved() {
        long nowNs = mScheduler.monotonicNs();
        boolean starved =
                mAccounts.values().stream().anyMatch(account -> account.isStarvedFor(0, nowNs));
        if (starved && !mRequestScheduled) {
            mRequestScheduled = true;
            var unused = mScheduler.schedule(RESEND_DELAY, () -> sendRequests(false));
        }
    }

    private void onGrant(Identity from, ShareMessage.Grant grant) {
        synchronized (this) {
            PendingRequest pending = mPendingRequests.get(from);
            if (pending == null || pending.sequence() != grant.sequence()) {
                return;
            }
            mPendingRequests.remove(from);
            long untilNs = pending.sentNs() + ShareTimings.LEASE.toNanos();
            for (ShareMessage.GrantEntry entry : grant.entries()) {
                Optional<WorkspaceSpec> workspace = mQuotas.workspace(entry.workspace());
                workspace
                        .map(spec -> mAccounts.get(spec.id()))
                        .ifPresent(account -> account.applyGrant(pending.domain(), entry, untilNs));
            }
        }
        requestAgainIfStarved();
        mListeners.forEach(Runnable::run);
    }
}
