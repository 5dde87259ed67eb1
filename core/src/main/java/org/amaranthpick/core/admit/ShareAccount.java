package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Shares of the limits of one workspace that this daemon holds, and its demand for more. Not
 * thread-safe.
 */
final class ShareAccount {
    private static final double SMOOTHING_FACTOR = 0.3;
    private static final int SPARE_SLOTS = 1;
    private static final long IDLE_TIME_NS = 1_000_000_000L;

    private final WorkspaceSpec mWorkspace;
    private final Map<Identity, Lease> mLeases = new HashMap<>();
    private double mRequestBalance;
    private double mTokenBalance;
    private int mInProgress;
    private int mWaitingRequests;
    private long mWaitingTokens;
    private int mStartedRequests;
    private long mStartedTokens;
    private double mMeanStartedRequests;
    private double mMeanStartedTokens;
    private long mLastUsedNs;
    private long mStarvedSinceNs = -1;

    /** Slots granted by one domain until a point in time. */
    private record Lease(int slots, long untilNs) {}

    ShareAccount(WorkspaceSpec workspace, long nowNs) {
        mWorkspace = workspace;
        mLastUsedNs = nowNs;
    }

    WorkspaceSpec workspace() {
        return mWorkspace;
    }

    boolean tryStart(int tokens, long nowNs) {
        mLastUsedNs = nowNs;
        if (mInProgress >= slots(nowNs) || mRequestBalance < 1 || mTokenBalance < tokens) {
            return false;
        }
        mInProgress++;
        mRequestBalance -= 1;
        mTokenBalance -= tokens;
        mStartedRequests++;
        mStartedTokens += tokens;
        mStarvedSinceNs = -1;
        return true;
    }

    void finish(int chargedTokens, int usedTokens) {
        mInProgress--;
        mTokenBalance += chargedTokens - usedTokens;
    }

    void setWaiting(int requests, long tokens, long nowNs) {
        mWaitingRequests = requests;
        mWaitingTokens = tokens;
        if (requests == 0) {
            mStarvedSinceNs = -1;
        } else if (mStarvedSinceNs < 0) {
            mStarvedSinceNs = nowNs;
        }
    }

    boolean isStarvedFor(long durationNs, long nowNs) {
        return mStarvedSinceNs >= 0 && nowNs - mStarvedSinceNs >= durationNs;
    }

    /**
     * Ends a demand period: updates the mean of the requests and tokens started per period, which
     * is requested in advance.
     */
    void updateDemandAverages() {
        mMeanStartedRequests += SMOOTHING_FACTOR * (mStartedRequests - mMeanStartedRequests);
        mMeanStartedTokens += SMOOTHING_FACTOR * (mStartedTokens - mMeanStartedTokens);
        mStartedRequests = 0;
        mStartedTokens = 0;
    }

    boolean isIdle(long nowNs) {
        return mInProgress == 0 && mWaitingRequests == 0 && nowNs - mLastUsedNs > IDLE_TIME_NS;
    }

    int slots(long nowNs) {
        int slots = 0;
        for (Lease lease : mLeases.values()) {
            slots += nowNs < lease.untilNs() ? lease.slots() : 0;
        }
        return slots;
    }

    /** Lists the domains that have granted slots which are still valid. */
    List<Identity> lendingDomains(long nowNs) {
        List<Identity> domains = new ArrayList<>();
        mLeases.forEach(
                (domain, lease) -> {
                    if (lease.slots() > 0 && nowNs < lease.untilNs()) {
                        domains.add(domain);
                    }
                });
        return domains;
    }

    /**
     * Creates the entry of a share request and gives up the slots that are no longer wanted.
     *
     * @param domain domain whose coordinator receives the request
     * @param borrowing true if only what the other domains do not cover is requested
     * @param nowNs monotonic time
     * @return entry of the share request
     */
    ShareMessage.RequestEntry newRequestEntry(Identity domain, boolean borrowing, long nowNs) {
        boolean idle = isIdle(nowNs);
        int granted = heldSlots(domain, nowNs);
        int needed = mInProgress + mWaitingRequests + (idle ? 0 : SPARE_SLOTS);
        int wanted = borrowing ? Math.max(0, needed - slots(nowNs) + granted) : needed;
        int kept = Math.min(granted, wanted);
        if (granted > kept) {
            mLeases.put(domain, new Lease(kept, mLeases.get(domain).untilNs()));
        }
        int otherSlots = borrowing ? slots(nowNs) - kept : 0;
        int usedSlots = Math.min(kept, Math.max(0, mInProgress - otherSlots));
        double requests =
                idle ? 0 : mWaitingRequests + 2 * mMeanStartedRequests + 1 - mRequestBalance;
        double tokens = idle ? 0 : mWaitingTokens + 2 * mMeanStartedTokens - mTokenBalance;
        return new ShareMessage.RequestEntry(
                DomainQuotas.workspaceCode(mWorkspace.id()),
                kept,
                usedSlots,
                wanted,
                (int) Math.max(0, Math.ceil(requests)),
                (int) Math.max(0, Math.ceil(tokens)));
    }

    void applyGrant(Identity domain, ShareMessage.GrantEntry grant, long untilNs) {
        mLeases.put(domain, new Lease(grant.slots(), untilNs));
        mRequestBalance += grant.requests();
        mTokenBalance += grant.tokens();
    }

    private int heldSlots(Identity domain, long nowNs) {
        Lease lease = mLeases.get(domain);
        return lease != null && nowNs < lease.untilNs() ? lease.slots() : 0;
    }
}
