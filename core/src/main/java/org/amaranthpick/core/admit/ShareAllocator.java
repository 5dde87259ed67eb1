package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Grants shares of the domain's quotas while this daemon is the coordinator of their shard.
 * Requests and tokens are taken from buckets that start empty; slots are leased. A new coordinator
 * grants no slots beyond those already held until all leases of the previous coordinator have
 * expired.
 */
final class ShareAllocator {
    private static final double BURST_SECONDS = 1;

    private final ShareCoordinators mCoordinators;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final Scheduler mScheduler;
    private final Invariants mInvariants;
    private final Map<Long, WorkspaceAllocation> mAllocations = new HashMap<>();
    private DomainQuotas mQuotas;
    private DomainQuotas mOldQuotas;
    private long mGeneration;
    private long mQuotasChangedNs;

    /** Slots that one daemon holds, and its last request. */
    private record DaemonShare(
            int slots, ShareMessage.RequestEntry request, long sequence, long untilNs) {}

    /** Shares of one workspace granted in one term. */
    private static final class WorkspaceAllocation {
        private final long mTermStartedNs;
        private final TokenBucket mRequests;
        private final TokenBucket mTokens;
        private boolean mHandoverDone;
        private final Map<Identity, DaemonShare> mShares = new HashMap<>();

        WorkspaceAllocation(long termStartedNs, long nowNs) {
            mTermStartedNs = termStartedNs;
            mRequests = new TokenBucket(0, 0, 0, nowNs);
            mTokens = new TokenBucket(0, 0, 0, nowNs);
        }
    }

    ShareAllocator(
            ShareCoordinators coordinators,
            ConfigurationView configuration,
            MemberView members,
            Scheduler scheduler,
            Invariants invariants) {
        mCoordinators = coordinators;
        mConfiguration = configuration;
        mMembers = members;
        mScheduler = scheduler;
        mInvariants = invariants;
    }

    /**
     * Answers a share request.
     *
     * @param from daemon that sent the request
     * @param request share request
     * @return grant for the workspaces that this daemon coordinates
     */
    synchronized ShareMessage.Grant grant(Identity from, ShareMessage.ShareRequest request) {
        List<ShareMessage.GrantEntry> entries = new ArrayList<>();
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isPresent()) {
            updateQuotas(configuration.get());
            for (ShareMessage.RequestEntry entry : request.entries()) {
                Optional<Long> termStarted =
                        mCoordinators.coordinatorSince(ShareCoordinators.shard(entry.workspace()));
                if (termStarted.isPresent()) {
                    grant(from, entry, request.sequence(), termStarted.get())
                            .ifPresent(entries::add);
                }
            }
        }
        return new ShareMessage.Grant(request.sequence(), entries);
    }

    private void updateQuotas(Configuration configuration) {
        if (configuration.generation() == mGeneration) {
            return;
        }
        mOldQuotas = mQuotas;
        mQuotas = new DomainQuotas(configuration);
        mGeneration = configuration.generation();
        mQuotasChangedNs = mScheduler.monotonicNs();
    }

    private DomainQuotas.Quota quota(long workspace, long nowNs) {
        Identity domain = mMembers.self().domain();
        DomainQuotas.Quota quota = mQuotas.quota(workspace, domain);
        boolean changing = nowNs - mQuotasChangedNs < ShareTimings.OLD_QUOTA_OVERLAP.toNanos();
        if (changing && mOldQuotas != null && mOldQuotas.workspace(workspace).isPresent()) {
            return quota.min(mOldQuotas.quota(workspace, domain));
        }
        return quota;
    }

    private Optional<ShareMessage.GrantEntry> grant(
            Identity from, ShareMessage.RequestEntry entry, long sequence, long termStartedNs) {
        long nowNs = mScheduler.monotonicNs();
        DomainQuotas.Quota quota = quota(entry.workspace(), nowNs);
        WorkspaceAllocation allocation = mAllocations.get(entry.workspace());
        if (allocation == null || allocation.mTermStartedNs != termStartedNs) {
            allocation = new WorkspaceAllocation(termStartedNs, nowNs);
            mAllocations.put(entry.workspace(), allocation);
        }
        allocation.mShares.values().removeIf(share -> nowNs >= share.untilNs());
        DaemonShare previous = allocation.mShares.get(from);
        if (previous != null && previous.sequence() >= sequence) {
            return Optional.empty();
        }
        allocation.mRequests.setRate(
                quota.requestsPerSecond(),
                Math.max(1, quota.requestsPerSecond() * BURST_SECONDS),
                nowNs);
        allocation.mTokens.setRate(
                quota.tokensPerSecond(), quota.tokensPerSecond() * BURST_SECONDS, nowNs);
        boolean inHandover = isInHandover(allocation, entry.workspace(), nowNs);
        boolean inDomain = isInDomain(from);
        int slots = grantedSlots(allocation, from, entry, quota.slots(), inHandover, inDomain);
        int requests =
                grantedAmount(
                        allocation,
                        from,
                        allocation.mRequests.balance(nowNs),
                        entry.requests(),
                        true);
        int tokens =
                grantedAmount(
                        allocation, from, allocation.mTokens.balance(nowNs), entry.tokens(), false);
        allocation.mRequests.add(-requests);
        allocation.mTokens.add(-tokens);
        long untilNs = nowNs + ShareTimings.COORDINATOR_LEASE.toNanos();
        int countedSlots = Math.max(entry.heldSlots(), slots);
        allocation.mShares.put(from, new DaemonShare(countedSlots, entry, sequence, untilNs));
        checkTotal(entry.workspace(), allocation, quota.slots());
        return Optional.of(new ShareMessage.GrantEntry(entry.workspace(), slots, requests, tokens));
    }

    /** Returns whether slots granted by the previous coordinator may still be in use. */
    private boolean isInHandover(WorkspaceAllocation allocation, long workspace, long nowNs) {
        if (allocation.mHandoverDone
                || nowNs - allocation.mTermStartedNs >= ShareTimings.COORDINATOR_LEASE.toNanos()) {
            return false;
        }
        allocation.mHandoverDone =
                allocation.mShares.isEmpty()
                        && mCoordinators.isIdle(ShareCoordinators.shard(workspace));
        return !allocation.mHandoverDone;
    }

    private static int grantedSlots(
            WorkspaceAllocation allocation,
            Identity from,
            ShareMessage.RequestEntry entry,
            int limit,
            boolean inHandover,
            boolean inDomain) {
        int otherSlots = 0;
        int wanted = entry.wantedSlots();
        for (Map.Entry<Identity, DaemonShare> share : allocation.mShares.entrySet()) {
            if (!share.getKey().equals(from)) {
                otherSlots += share.getValue().slots();
                wanted += share.getValue().request().wantedSlots();
            }
        }
        int freeSlots = Math.max(0, limit - otherSlots);
        if (inHandover) {
            return Math.min(entry.heldSlots(), freeSlots);
        }
        int fairSlots =
                wanted <= limit
                        ? limit
                        : (int) Math.ceil(limit * (double) entry.wantedSlots() / wanted);
        int availableSlots =
                inDomain
                        ? freeSlots
                        : Math.max(Math.min(entry.heldSlots(), freeSlots), freeSlots / 2);
        int share = Math.min(Math.min(entry.wantedSlots(), Math.max(1, fairSlots)), availableSlots);
        return Math.max(share, Math.min(entry.usedSlots(), freeSlots));
    }

    /**
     * Returns the share of an amount for one daemon, in proportion to the last requests of all
     * daemons.
     */
    private static int grantedAmount(
            WorkspaceAllocation allocation,
            Identity from,
            double balance,
            int wanted,
            boolean requests) {
        double totalWanted = wanted;
        for (Map.Entry<Identity, DaemonShare> other : allocation.mShares.entrySet()) {
            if (!other.getKey().equals(from)) {
                DaemonShare share = other.getValue();
                totalWanted += requests ? share.request().requests() : share.request().tokens();
            }
        }
        if (wanted <= 0 || balance < 1) {
            return 0;
        }
        double share = totalWanted <= balance ? wanted : Math.ceil(balance * wanted / totalWanted);
        return (int) Math.min(wanted, Math.min(share, Math.floor(balance)));
    }

    private boolean isInDomain(Identity host) {
        Identity domain = mMembers.self().domain();
        return mMembers.member(host).map(Member::domain).filter(domain::equals).isPresent();
    }

    private void checkTotal(long workspace, WorkspaceAllocation allocation, int limit) {
        int sum = allocation.mShares.values().stream().mapToInt(DaemonShare::slots).sum();
        boolean changing =
                mScheduler.monotonicNs() - mQuotasChangedNs
                        < ShareTimings.OLD_QUOTA_OVERLAP.toNanos();
        mInvariants.check(
                Invariant.LIMIT_SHARES_WITHIN_LIMIT,
                sum <= limit || (changing && mOldQuotas != null),
                "%d slots granted of a quota of %d for workspace %x",
                sum,
                limit,
                workspace);
    }
}
