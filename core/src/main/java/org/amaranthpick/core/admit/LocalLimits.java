package org.amaranthpick.core.admit;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/** Limits enforced in full by this daemon alone, for a system with a single daemon. */
public final class LocalLimits implements WorkspaceLimits {
    private final Scheduler mScheduler;
    private final Map<Identity, Account> mAccounts = new ConcurrentHashMap<>();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();

    /** Current use of the limits of one workspace. */
    private static final class Account {
        private final TokenBucket mRequests;
        private final TokenBucket mTokens;
        private int mInProgress;

        Account(WorkspaceSpec.Limits limits, long nowNs) {
            double requests = Math.max(1, limits.requestsPerSecond());
            mRequests = new TokenBucket(limits.requestsPerSecond(), requests, requests, nowNs);
            double tokens = limits.tokensPerSecond();
            mTokens = new TokenBucket(tokens, tokens, tokens, nowNs);
        }
    }

    /**
     * Creates limits with full buckets.
     *
     * @param scheduler clock
     */
    public LocalLimits(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    @Override
    public boolean tryStart(WorkspaceSpec workspace, int tokens) {
        long nowNs = mScheduler.monotonicNs();
        WorkspaceSpec.Limits limits = workspace.limits();
        Account account =
                mAccounts.computeIfAbsent(workspace.id(), key -> new Account(limits, nowNs));
        synchronized (account) {
            account.mRequests.setRate(
                    limits.requestsPerSecond(), Math.max(1, limits.requestsPerSecond()), nowNs);
            account.mTokens.setRate(limits.tokensPerSecond(), limits.tokensPerSecond(), nowNs);
            double needed = Math.min(tokens, limits.tokensPerSecond());
            if (account.mInProgress >= limits.concurrentRequests()
                    || account.mRequests.balance(nowNs) < 1
                    || account.mTokens.balance(nowNs) < needed) {
                return false;
            }
            account.mInProgress++;
            account.mRequests.add(-1);
            account.mTokens.add(-tokens);
            return true;
        }
    }

    @Override
    public void finish(WorkspaceSpec workspace, int chargedTokens, int usedTokens) {
        Account account = mAccounts.get(workspace.id());
        if (account == null) {
            return;
        }
        synchronized (account) {
            account.mInProgress--;
            account.mTokens.add(chargedTokens - usedTokens);
        }
        mListeners.forEach(Runnable::run);
    }

    @Override
    public void reportWaiting(WorkspaceSpec workspace, int requests, long tokens) {
        // There is no other daemon to request shares from.
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }
}
