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
 * Limits shared over all daemons. Each failure domain hands out a fixed part of every limit through
 * one home daemon per shard of workspaces; this daemon asks the homes for what its demand needs.
 * The shares of all daemons never sum up to more than the limit, whatever is lost or cut off.
 */
public final class SharedLimits implements WorkspaceLimits, Controller {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration ASK_DELAY = Duration.ofMillis(2);
    private static final Duration ASK_AGAIN_DELAY = Duration.ofMillis(50);
    private static final long ANSWER_TIME_NS = Duration.ofMillis(200).toNanos();
    private static final long ASKS_PER_MS = 1_000;
    private static final int TURNS_PER_RENEWAL = 2;
    private static final int TURNS_PER_DOMAIN = 4;
    private static final long STARVED_NS = Duration.ofMillis(500).toNanos();

    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final ShareHomes mHomes;
    private final ShareLedger mLedger;
    private final Map<Identity, ShareAccount> mAccounts = new HashMap<>();
    private final Map<Identity, Asked> mAsked = new HashMap<>();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private ShareParts mParts;
    private long mGeneration;
    private long mSequence;
    private boolean mAskArmed;
    private int mTurn;

    /** Ask without an answer. */
    private record Asked(long sequence, Identity domain, long atNs) {}

    /** Home of a domain. */
    private record Target(Identity domain, Identity home) {}

    /**
     * What shared limits work with.
     *
     * @param configuration configuration in force
     * @param members daemons
     * @param peers network to the other daemons
     * @param scheduler clock and timers
     * @param log told of each change of a home
     * @param invariants checks
     */
    public record Context(
            ConfigurationView configuration,
            MemberView members,
            PeerNetwork peers,
            Scheduler scheduler,
            DecisionLog log,
            Invariants invariants) {}

    /**
     * Creates limits without shares and registers the handlers of their messages.
     *
     * @param context what shared limits work with
     */
    public SharedLimits(Context context) {
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mSequence = mScheduler.instant().toEpochMilli() * ASKS_PER_MS;
        mHomes = new ShareHomes(mMembers, mPeers, mScheduler, context.log(), this::idleShards);
        mLedger =
                new ShareLedger(mHomes, mConfiguration, mMembers, mScheduler, context.invariants());
        mPeers.handle(
                ShareMessage.CANDIDACY_TAG,
                (from, message) -> mHomes.onCandidacy(from, (ShareMessage.Candidacy) message));
        mPeers.handle(
                ShareMessage.CONSENT_TAG,
                (from, message) -> mHomes.onConsent(from, (ShareMessage.Consent) message));
        mPeers.handle(
                ShareMessage.ASK_TAG,
                (from, message) ->
                        mPeers.send(from, mLedger.grant(from, (ShareMessage.Ask) message)));
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
        mTurn++;
        boolean renew = mTurn % TURNS_PER_RENEWAL == 0;
        if (renew) {
            mHomes.step();
        }
        synchronized (this) {
            mAccounts.values().forEach(ShareAccount::roll);
        }
        askAll(renew);
    }

    @Override
    public synchronized boolean tryStart(WorkspaceSpec workspace, int tokens) {
        return account(workspace).tryStart(tokens, mScheduler.monotonicNs());
    }

    @Override
    public synchronized void finish(WorkspaceSpec workspace, int counted, int used) {
        account(workspace).finish(counted, used);
    }

    @Override
    public synchronized void waiting(WorkspaceSpec workspace, int requests, long tokens) {
        ShareAccount account = account(workspace);
        account.waiting(requests, tokens, mScheduler.monotonicNs());
        if (requests > 0 && !mAskArmed) {
            mAskArmed = true;
            var unused = mScheduler.schedule(ASK_DELAY, () -> askAll(false));
        }
    }

    @Override
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the places that this daemon may fill now.
     *
     * @param workspace the workspace
     * @return requests in progress allowed
     */
    public synchronized int places(WorkspaceSpec workspace) {
        ShareAccount account = mAccounts.get(workspace.id());
        return account == null ? 0 : account.places(mScheduler.monotonicNs());
    }

    private ShareAccount account(WorkspaceSpec workspace) {
        return mAccounts.computeIfAbsent(
                workspace.id(), key -> new ShareAccount(workspace, mScheduler.monotonicNs()));
    }

    /** Sends one ask per home, unless one is on its way. */
    private void askAll(boolean everyAccount) {
        Map<Identity, ShareMessage.Ask> asks = new HashMap<>();
        synchronized (this) {
            mAskArmed = false;
            Optional<Configuration> configuration = mConfiguration.current();
            if (configuration.isEmpty()) {
                return;
            }
            learn(configuration.get());
            collect(everyAccount)
                    .forEach((target, entries) -> asks.put(target.home(), ask(target, entries)));
        }
        asks.forEach(this::send);
    }

    private void learn(Configuration configuration) {
        if (configuration.generation() != mGeneration) {
            mParts = new ShareParts(configuration);
            mGeneration = configuration.generation();
        }
    }

    private ShareMessage.Ask ask(Target target, List<ShareMessage.AskEntry> entries) {
        mSequence++;
        mAsked.put(target.home(), new Asked(mSequence, target.domain(), mScheduler.monotonicNs()));
        return new ShareMessage.Ask(mSequence, entries);
    }

    private Map<Target, List<ShareMessage.AskEntry>> collect(boolean everyAccount) {
        long nowNs = mScheduler.monotonicNs();
        Map<Target, List<ShareMessage.AskEntry>> entries = new HashMap<>();
        Iterator<ShareAccount> accounts = mAccounts.values().iterator();
        while (accounts.hasNext()) {
            ShareAccount account = accounts.next();
            if (!everyAccount && !account.isStarvedFor(0, nowNs)) {
                continue;
            }
            for (Target target : targets(account, nowNs)) {
                Asked asked = mAsked.get(target.home());
                if (asked == null || nowNs - asked.atNs() >= ANSWER_TIME_NS) {
                    entries.computeIfAbsent(target, key -> new ArrayList<>())
                            .add(account.ask(target.domain(), !isOwn(target), nowNs));
                }
            }
            if (account.isIdle(nowNs)) {
                accounts.remove();
            }
        }
        return entries;
    }

    /**
     * Lists the homes to ask: that of the own domain, those of domains that lend already, and
     * another one in turn while requests wait.
     */
    private List<Target> targets(ShareAccount account, long nowNs) {
        Identity workspace = account.workspace().id();
        int shard = ShareHomes.shard(ShareParts.code(workspace));
        Identity own = mMembers.self().domain();
        List<Identity> domains = new ArrayList<>(mParts.domains(workspace));
        Set<Identity> asked = new LinkedHashSet<>();
        boolean has = domains.remove(own);
        if (has) {
            asked.add(own);
        }
        asked.addAll(account.lenders(nowNs));
        if (!domains.isEmpty() && (!has || account.isStarvedFor(STARVED_NS, nowNs))) {
            asked.add(domains.get(mTurn / TURNS_PER_DOMAIN % domains.size()));
        }
        List<Target> targets = new ArrayList<>();
        for (Identity domain : asked) {
            mHomes.home(shard, domain).ifPresent(home -> targets.add(new Target(domain, home)));
        }
        return targets;
    }

    private boolean isOwn(Target target) {
        return target.domain().equals(mMembers.self().domain());
    }

    private long idleShards() {
        long idle = -1L;
        synchronized (this) {
            long nowNs = mScheduler.monotonicNs();
            Identity own = mMembers.self().domain();
            for (Asked asked : mAsked.values()) {
                boolean valid = nowNs - asked.atNs() < ShareTimes.LEASE.toNanos();
                if (valid && asked.domain().equals(own)) {
                    return 0;
                }
            }
            for (ShareAccount account : mAccounts.values()) {
                if (account.places(nowNs) > 0) {
                    long code = ShareParts.code(account.workspace().id());
                    idle &= ~(1L << ShareHomes.shard(code));
                }
            }
        }
        return idle;
    }

    private void send(Identity home, ShareMessage.Ask ask) {
        Identity self = mMembers.self().host();
        if (home.equals(self)) {
            onGrant(self, mLedger.grant(self, ask));
        } else {
            mPeers.send(home, ask);
        }
    }

    /** Asks again soon while requests wait for limits. */
    private synchronized void askAgain() {
        long nowNs = mScheduler.monotonicNs();
        boolean starved =
                mAccounts.values().stream().anyMatch(account -> account.isStarvedFor(0, nowNs));
        if (starved && !mAskArmed) {
            mAskArmed = true;
            var unused = mScheduler.schedule(ASK_AGAIN_DELAY, () -> askAll(false));
        }
    }

    private void onGrant(Identity from, ShareMessage.Grant grant) {
        synchronized (this) {
            Asked asked = mAsked.get(from);
            if (asked == null || asked.sequence() != grant.sequence()) {
                return;
            }
            mAsked.remove(from);
            long untilNs = asked.atNs() + ShareTimes.LEASE.toNanos();
            for (ShareMessage.GrantEntry entry : grant.entries()) {
                Optional<WorkspaceSpec> workspace = mParts.workspace(entry.workspace());
                workspace
                        .map(spec -> mAccounts.get(spec.id()))
                        .ifPresent(account -> account.granted(asked.domain(), entry, untilNs));
            }
        }
        askAgain();
        mListeners.forEach(Runnable::run);
    }
}
