package org.amaranthpick.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/**
 * Claims recorded in journals in the store, one per shard. The daemon that ranks first for a shard
 * owns it and writes its journal for all daemons, so that many claims share one write. Ownership
 * only reduces the number of writes; correctness does not depend on it.
 */
public final class JournalClaims implements Claims {
    private static final Duration SETTLE_RETRY_DELAY = Duration.ofSeconds(1);

    private final ClaimSettings mSettings;
    private final MemberView mMembers;
    private final Scheduler mScheduler;
    private final DecisionLog mDecisions;
    private final ClaimShards mShards;
    private final ShardRouter mRouter;

    /**
     * Creates the claims of this daemon and starts to serve the calls of other daemons.
     *
     * @param settings settings
     * @param members membership, which decides shard ownership and whether the holder of a claim is
     *     alive
     * @param network transport to other daemons
     * @param store store of the journals
     * @param tokens writer tokens of this process
     * @param scheduler clock and timers
     * @param decisions decision log
     */
    public JournalClaims(
            ClaimSettings settings,
            MemberView members,
            PeerNetwork network,
            ObjectStore store,
            WriterTokens tokens,
            Scheduler scheduler,
            DecisionLog decisions) {
        mSettings = settings;
        mMembers = members;
        mScheduler = scheduler;
        mDecisions = decisions;
        mShards = new ClaimShards(settings, store, tokens, scheduler);
        long firstCallId =
                Hashing.komihash5_0().hashStream().putLong(tokens.next().bootNonce()).getAsLong();
        PeerCalls calls = new PeerCalls(network, scheduler, firstCallId);
        calls.serve(call -> mShards.perform(call.operation(), call.validFor()));
        mRouter = new ShardRouter(settings, members, scheduler, calls, mShards);
    }

    @Override
    public CompletionStage<ClaimResult> claim(ClaimKey key, String requestId, String bodyDigest) {
        ClaimOperation.Acquire acquire =
                new ClaimOperation.Acquire(
                        KeyHash.of(key),
                        requestHash(requestId),
                        Hashing.komihash5_0().hashStream().putString(bodyDigest).getAsLong(),
                        mMembers.self().host().key());
        return mRouter.perform(acquire, mSettings.acquireTimeout())
                .thenApply(
                        result -> {
                            if (result.mayStillBeStored()) {
                                releaseUnacknowledged(acquire);
                            }
                            return toResult(new ClaimTicket(key, requestId), result.reply());
                        });
    }

    @Override
    public CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer) {
        return settle(ticket, ClaimState.DONE, Optional.of(answer), mSettings.settleTimeout());
    }

    @Override
    public CompletionStage<Void> markLost(ClaimTicket ticket) {
        return settle(ticket, ClaimState.LOST, Optional.empty(), mSettings.settleTimeout());
    }

    @Override
    public CompletionStage<Void> release(ClaimTicket ticket) {
        return settle(ticket, ClaimState.RELEASED, Optional.empty(), mSettings.releaseTimeout());
    }

    /**
     * Returns the counters of store calls.
     *
     * @return counters since the process started
     */
    public ClaimCounters counters() {
        return mShards.counters();
    }

    private ClaimResult toResult(ClaimTicket ticket, ShardReply reply) {
        return switch (reply.kind()) {
            case GRANTED -> new ClaimResult.Granted(ticket);
            case COMPLETED -> new ClaimResult.Completed(reply.answer().orElseThrow());
            case IN_PROGRESS ->
                    isHolderAlive(reply)
                            ? new ClaimResult.InProgress()
                            : new ClaimResult.OutcomeUnknown();
            case REUSED -> new ClaimResult.Reused();
            case UNAVAILABLE, NOT_STORED -> new ClaimResult.Unavailable(reply.text());
            case OUTCOME_UNKNOWN, SETTLED, PENDING -> new ClaimResult.OutcomeUnknown();
        };
    }

    private boolean isHolderAlive(ShardReply reply) {
        long ageMs = mScheduler.instant().toEpochMilli() - reply.claimedAtMs();
        return ageMs <= mSettings.maxRequestTime().toMillis()
                && mMembers.members().stream()
                        .anyMatch(member -> member.host().key().equals(reply.text()));
    }

    private CompletionStage<Void> settle(
            ClaimTicket ticket, ClaimState state, Optional<ClaimAnswer> answer, Duration timeout) {
        ClaimOperation.Settle settle =
                new ClaimOperation.Settle(
                        KeyHash.of(ticket.key()), requestHash(ticket.requestId()), state, answer);
        String label = state.name().toLowerCase(Locale.ROOT);
        return settleUntil(settle, mScheduler.monotonicNs() + timeout.toNanos())
                .thenAccept(
                        stored ->
                                mDecisions.record(
                                        DecisionKind.CLAIM,
                                        ticket.requestId(),
                                        label + (stored ? " stored" : " not stored")));
    }

    /** Releases the claim that an acquire operation without a final reply may still obtain. */
    private void releaseUnacknowledged(ClaimOperation.Acquire acquire) {
        ClaimOperation.Settle release =
                new ClaimOperation.Settle(
                        acquire.key(),
                        acquire.requestHash(),
                        ClaimState.RELEASED,
                        Optional.empty());
        long retryUntilNs = mScheduler.monotonicNs() + mSettings.releaseTimeout().toNanos();
        var unused = settleUntil(release, retryUntilNs);
    }

    /** Performs a settle operation and retries it until it is stored or its time has passed. */
    private CompletableFuture<Boolean> settleUntil(
            ClaimOperation.Settle settle, long retryUntilNs) {
        Duration validFor = mSettings.acquireTimeout().plus(mSettings.maxSettleDelay());
        return mRouter.perform(settle, validFor)
                .thenCompose(
                        result -> {
                            boolean stored = !result.reply().isFailure();
                            if (stored || retryUntilNs - mScheduler.monotonicNs() <= 0) {
                                return CompletableFuture.completedFuture(stored);
                            }
                            return retryDelay()
                                    .thenCompose(elapsed -> settleUntil(settle, retryUntilNs));
                        });
    }

    private CompletableFuture<Void> retryDelay() {
        CompletableFuture<Void> delay = new CompletableFuture<>();
        var unused = mScheduler.schedule(SETTLE_RETRY_DELAY, () -> delay.complete(null));
        return delay;
    }

    private long requestHash(String requestId) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(mMembers.self().host().key())
                .putString(requestId)
                .getAsLong();
    }
}
