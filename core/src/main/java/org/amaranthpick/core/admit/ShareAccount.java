package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;

/** Shares of one workspace that this daemon holds. Not thread-safe. */
final class ShareAccount {
    private static final double STEP = 0.3;
    private static final int SPARE_PLACES = 1;
    private static final long IDLE_NS = 1_000_000_000L;

    private final WorkspaceSpec mWorkspace;
    private final Map<Identity, Lease> mLeases = new HashMap<>();
    private double mRequests;
    private double mTokens;
    private int mInProgress;
    private int mWaiting;
    private long mWaitingTokens;
    private int mStarted;
    private long mStartedTokens;
    private double mMeanStarted;
    private double mMeanStartedTokens;
    private long mUsedNs;
    private long mStarvedSinceNs = -1;

    /** Places of one domain. */
    private record Lease(int places, long untilNs) {}

    ShareAccount(WorkspaceSpec workspace, long nowNs) {
        mWorkspace = workspace;
        mUsedNs = nowNs;
    }

    WorkspaceSpec workspace() {
        return mWorkspace;
    }

    boolean tryStart(int tokens, long nowNs) {
        mUsedNs = nowNs;
        if (mInProgress >= places(nowNs) || mRequests < 1 || mTokens < tokens) {
            return false;
        }
        mInProgress++;
        mRequests -= 1;
        mTokens -= tokens;
        mStarted++;
        mStartedTokens += tokens;
        mStarvedSinceNs = -1;
        return true;
    }

    void finish(int counted, int used) {
        mInProgress--;
        mTokens += counted - used;
    }

    void waiting(int requests, long tokens, long nowNs) {
        mWaiting = requests;
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

    /** Closes a period of demand: the mean of what was started is asked for in advance. */
    void roll() {
        mMeanStarted += STEP * (mStarted - mMeanStarted);
        mMeanStartedTokens += STEP * (mStartedTokens - mMeanStartedTokens);
        mStarted = 0;
        mStartedTokens = 0;
    }

    boolean isIdle(long nowNs) {
        return mInProgress == 0 && mWaiting == 0 && nowNs - mUsedNs > IDLE_NS;
    }

    int places(long nowNs) {
        int places = 0;
        for (Lease lease : mLeases.values()) {
            places += nowNs < lease.untilNs() ? lease.places() : 0;
        }
        return places;
    }

    /** Lists the domains whose places are held and needed. */
    List<Identity> lenders(long nowNs) {
        List<Identity> lenders = new ArrayList<>();
        mLeases.forEach(
                (domain, lease) -> {
                    if (lease.places() > 0 && nowNs < lease.untilNs()) {
                        lenders.add(domain);
                    }
                });
        return lenders;
    }

    /**
     * Makes the entry of an ask and gives up the places that are not wanted any more.
     *
     * @param domain domain whose home is asked
     * @param overflow true if other domains come first
     * @param nowNs monotonic time
     * @return the entry
     */
    ShareMessage.AskEntry ask(Identity domain, boolean overflow, long nowNs) {
        boolean idle = isIdle(nowNs);
        int before = held(domain, nowNs);
        int needed = mInProgress + mWaiting + (idle ? 0 : SPARE_PLACES);
        int wanted = overflow ? Math.max(0, needed - places(nowNs) + before) : needed;
        int held = Math.min(before, wanted);
        if (before > held) {
            mLeases.put(domain, new Lease(held, mLeases.get(domain).untilNs()));
        }
        int elsewhere = overflow ? places(nowNs) - held : 0;
        int used = Math.min(held, Math.max(0, mInProgress - elsewhere));
        double requests = idle ? 0 : mWaiting + 2 * mMeanStarted + 1 - mRequests;
        double tokens = idle ? 0 : mWaitingTokens + 2 * mMeanStartedTokens - mTokens;
        return new ShareMessage.AskEntry(
                ShareParts.code(mWorkspace.id()),
                held,
                used,
                wanted,
                (int) Math.max(0, Math.ceil(requests)),
                (int) Math.max(0, Math.ceil(tokens)));
    }

    void granted(Identity domain, ShareMessage.GrantEntry grant, long untilNs) {
        mLeases.put(domain, new Lease(grant.places(), untilNs));
        mRequests += grant.requests();
        mTokens += grant.tokens();
    }

    private int held(Identity domain, long nowNs) {
        Lease lease = mLeases.get(domain);
        return lease != null && nowNs < lease.untilNs() ? lease.places() : 0;
    }
}
