package org.amaranthpick.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Claims kept in journals of the platform's store, one per shard. The daemon that ranks first for a
 * shard writes its journal for all, so that many claims share one write; which daemon that is
 * matters for the number of writes only, never for safety.
 */
public final class JournalClaims implements Claims {
    private static final String PATH = "claims/shards/";
    private static final String NO_ANSWER = "the claim was not answered in time";
    private static final Duration SETTLE_RETRY = Duration.ofSeconds(1);

    private final ClaimSettings mSettings;
    private final MemberView mMembers;
    private final ObjectStore mStore;
    private final WriterTokens mTokens;
    private final Scheduler mScheduler;
    private final DecisionLog mDecisions;
    private final ClaimFormat mFormat;
    private final PeerCalls mCalls;
    private final ClaimCounters mCounters = new ClaimCounters();
    private final Map<Integer, ClaimShard> mShards = new ConcurrentHashMap<>();

    /**
     * Creates the claims of this daemon and serves the calls of others.
     *
     * @param settings settings
     * @param members membership, for liveness only
     * @param network messages to other daemons
     * @param store the platform's store
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
        mStore = store;
        mTokens = tokens;
        mScheduler = scheduler;
        mDecisions = decisions;
        mFormat = new ClaimFormat(settings.shards(), store, tokens);
        mCalls = new PeerCalls(network, scheduler);
        mCalls.serve(call -> performHere(call.operation(), call.validFor()));
    }

    @Override
    public CompletionStage<ClaimResult> claim(ClaimKey key, String requestId, String bodyDigest) {
        ClaimOperation.Ask ask =
                new ClaimOperation.Ask(
                        KeyHash.of(key),
                        requestHash(requestId),
                        Hashing.komihash5_0().hashStream().putString(bodyDigest).getAsLong(),
                        mMembers.self().host().key());
        ClaimTicket ticket = new ClaimTicket(key, requestId);
        return perform(ask, mSettings.askTimeout())
                .thenApply(reply -> toResult(ticket, ask, reply));
    }

    @Override
    public CompletionStage<Void> done(ClaimTicket ticket, ClaimAnswer answer) {
        return settle(ticket, ClaimState.DONE, Optional.of(answer), mSettings.settleTimeout());
    }

    @Override
    public CompletionStage<Void> lost(ClaimTicket ticket) {
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
        return mCounters;
    }

    private CompletionStage<Void> settle(
            ClaimTicket ticket, ClaimState state, Optional<ClaimAnswer> answer, Duration timeout) {
        ClaimOperation.Settle settle =
                new ClaimOperation.Settle(
                        KeyHash.of(ticket.key()), requestHash(ticket.requestId()), state, answer);
        String label = state.name().toLowerCase(Locale.ROOT);
        return performUntil(settle, mScheduler.monotonicNs() + timeout.toNanos())
                .thenAccept(
                        reply ->
                                mDecisions.record(
                                        DecisionKind.CLAIM,
                                        ticket.requestId(),
                                        label + (reply.isFailure() ? " not stored" : " stored")));
    }

    /** Tries a settling again until it is stored or its time is over. */
    private CompletableFuture<ShardReply> performUntil(ClaimOperation.Settle settle, long untilNs) {
        return perform(settle, mSettings.askTimeout().plus(mSettings.settleLinger()))
                .thenCompose(
                        reply -> {
                            boolean over = untilNs - mScheduler.monotonicNs() <= 0;
                            if (!reply.isFailure() || over) {
                                return CompletableFuture.completedFuture(reply);
                            }
                            return later().thenCompose(done -> performUntil(settle, untilNs));
                        });
    }

    private CompletableFuture<Void> later() {
        CompletableFuture<Void> wait = new CompletableFuture<>();
        var unused = mScheduler.schedule(SETTLE_RETRY, () -> wait.complete(null));
        return wait;
    }

    private ClaimResult toResult(ClaimTicket ticket, ClaimOperation.Ask ask, ShardReply reply) {
        return switch (reply.kind()) {
            case GRANTED -> new ClaimResult.Granted(ticket);
            case KEPT -> new ClaimResult.Kept(reply.answer().orElseThrow());
            case IN_PROGRESS ->
                    holderLives(reply)
                            ? new ClaimResult.InProgress()
                            : new ClaimResult.OutcomeUnknown();
            case REUSED -> new ClaimResult.Reused();
            case UNAVAILABLE -> {
                withdraw(ask);
                yield new ClaimResult.Unavailable(reply.text());
            }
            case NOT_STORED -> new ClaimResult.Unavailable(reply.text());
            case OUTCOME_UNKNOWN, SETTLED -> new ClaimResult.OutcomeUnknown();
        };
    }

    /** Makes sure that an ask whose answer was lost does not hold its key. */
    private void withdraw(ClaimOperation.Ask ask) {
        ClaimOperation.Settle release =
                new ClaimOperation.Settle(
                        ask.key(), ask.requestHash(), ClaimState.RELEASED, Optional.empty());
        long untilNs = mScheduler.monotonicNs() + mSettings.releaseTimeout().toNanos();
        var unused = performUntil(release, untilNs);
    }

    private boolean holderLives(ShardReply reply) {
        long ageMs = mScheduler.instant().toEpochMilli() - reply.claimedAtMs();
        return ageMs <= mSettings.maxRequestTime().toMillis()
                && mMembers.members().stream()
                        .anyMatch(member -> member.host().key().equals(reply.text()));
    }

    private CompletableFuture<ShardReply> perform(ClaimOperation operation, Duration validFor) {
        CompletableFuture<ShardReply> result = new CompletableFuture<>();
        Cancellable timer =
                mScheduler.schedule(
                        validFor, () -> result.complete(ShardReply.unavailable(NO_ANSWER)));
        var unused =
                performAtOwner(operation, validFor)
                        .whenComplete(
                                (reply, error) -> {
                                    timer.cancel();
                                    result.complete(
                                            error == null
                                                    ? reply
                                                    : ShardReply.unavailable(error.toString()));
                                });
        return result;
    }

    private CompletableFuture<ShardReply> performAtOwner(
            ClaimOperation operation, Duration validFor) {
        Optional<Identity> owner = ownerOf(operation.key());
        if (owner.isEmpty()) {
            return performHere(operation, validFor);
        }
        Duration timeout = peerTimeout(operation);
        return mCalls.call(owner.get(), operation, validFor, timeout)
                .thenCompose(
                        reply ->
                                reply.map(CompletableFuture::completedFuture)
                                        .orElseGet(
                                                () ->
                                                        performInstead(
                                                                operation,
                                                                validFor.minus(timeout))));
    }

    private Duration peerTimeout(ClaimOperation operation) {
        return operation instanceof ClaimOperation.Settle
                ? mSettings.peerTimeout().plus(mSettings.settleLinger())
                : mSettings.peerTimeout();
    }

    /** Performs here what the owner did not answer; the owner may perform it as well. */
    private CompletableFuture<ShardReply> performInstead(
            ClaimOperation operation, Duration validFor) {
        return performHere(operation, validFor)
                .thenApply(
                        reply ->
                                reply.kind() == ShardReply.Kind.NOT_STORED
                                        ? ShardReply.unavailable(reply.text())
                                        : reply);
    }

    private CompletableFuture<ShardReply> performHere(ClaimOperation operation, Duration validFor) {
        ClaimShard shard =
                mShards.computeIfAbsent(operation.key().shard(mSettings.shards()), this::open);
        return mFormat.check()
                .toCompletableFuture()
                .thenCompose(
                        fault ->
                                fault.isEmpty()
                                        ? shard.submit(operation, validFor)
                                        : CompletableFuture.completedFuture(
                                                ShardReply.notStored(fault)));
    }

    /** Returns the daemon that writes the journal for all, empty if it is this one. */
    private Optional<Identity> ownerOf(KeyHash key) {
        String shard = PATH + key.shard(mSettings.shards());
        List<Member> candidates =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        Identity self = mMembers.self().host();
        return Rendezvous.rank(shard, candidates, 1).stream()
                .map(Member::host)
                .filter(host -> !host.equals(self))
                .findFirst();
    }

    private ClaimShard open(int shard) {
        String path = PATH + shard + "/";
        return new ClaimShard(path, mSettings, mStore, mTokens, mScheduler, mCounters);
    }

    private long requestHash(String requestId) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(mMembers.self().host().key())
                .putString(requestId)
                .getAsLong();
    }
}
