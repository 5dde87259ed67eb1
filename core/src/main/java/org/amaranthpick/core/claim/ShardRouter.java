package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/**
 * Sends each operation to the owner of its shard, the daemon that ranks first for it, so that many
 * operations share one write. If the owner does not confirm the call in time, this daemon performs
 * the operation itself, which costs at most a write conflict. Once the owner has confirmed, this
 * daemon waits for the reply: otherwise a slow owner would make all daemons write its shard.
 */
final class ShardRouter {
    private static final String NO_REPLY_IN_TIME = "no reply to the claim operation in time";

    private final ClaimSettings mSettings;
    private final MemberView mMembers;
    private final Scheduler mScheduler;
    private final PeerCalls mCalls;
    private final ClaimShards mShards;

    ShardRouter(
            ClaimSettings settings,
            MemberView members,
            Scheduler scheduler,
            PeerCalls calls,
            ClaimShards shards) {
        mSettings = settings;
        mMembers = members;
        mScheduler = scheduler;
        mCalls = calls;
        mShards = shards;
    }

    /**
     * Performs an operation.
     *
     * @param operation operation to perform
     * @param validFor time after which the operation counts as unanswered
     * @return completes with the result, after {@code validFor} at the latest
     */
    CompletableFuture<OperationResult> perform(ClaimOperation operation, Duration validFor) {
        CompletableFuture<OperationResult> result = new CompletableFuture<>();
        Cancellable timer =
                mScheduler.schedule(
                        validFor,
                        () -> result.complete(OperationResult.unanswered(NO_REPLY_IN_TIME)));
        var unused =
                performAtOwner(operation, validFor)
                        .exceptionally(error -> OperationResult.unanswered(error.toString()))
                        .thenAccept(
                                operationResult -> {
                                    timer.cancel();
                                    result.complete(operationResult);
                                });
        return result;
    }

    private CompletableFuture<OperationResult> performAtOwner(
            ClaimOperation operation, Duration validFor) {
        Optional<Identity> owner = remoteOwnerOf(operation.key());
        if (owner.isEmpty()) {
            return mShards.perform(operation, validFor)
                    .thenApply(OperationResult::performedLocally);
        }
        Duration timeout = mSettings.peerTimeout();
        Duration remaining = validFor.minus(timeout);
        return mCalls.call(owner.get(), operation, validFor, timeout)
                .thenCompose(
                        reply ->
                                reply.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                OperationResult.performedByOwner(reply.get()))
                                        : mShards.perform(operation, remaining)
                                                .thenApply(
                                                        OperationResult::performedInsteadOfOwner));
    }

    /** Returns the daemon that owns the shard of a key, empty if it is this one. */
    private Optional<Identity> remoteOwnerOf(KeyHash key) {
        String shard = ClaimShards.prefix(key.shard(mSettings.shards()));
        List<Member> candidates =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        Identity self = mMembers.self().host();
        return Rendezvous.rank(shard, candidates, 1).stream()
                .map(Member::host)
                .filter(host -> !host.equals(self))
                .findFirst();
    }
}
