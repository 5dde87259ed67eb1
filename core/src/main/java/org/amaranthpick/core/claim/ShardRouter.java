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
 * Brings operations to the daemon that ranks first for their shard, so that many share one write.
 * One that its owner does not even confirm in time is performed here, which costs a conflict at
 * most; an owner that is slow is waited for, lest all daemons write in its place.
 */
final class ShardRouter {
    private static final String NO_ANSWER = "the claim was not answered in time";

    private final ClaimSettings mSettings;
    private final MemberView mMembers;
    private final Scheduler mScheduler;
    private final PeerCalls mCalls;
    private final ShardStore mShards;

    ShardRouter(
            ClaimSettings settings,
            MemberView members,
            Scheduler scheduler,
            PeerCalls calls,
            ShardStore shards) {
        mSettings = settings;
        mMembers = members;
        mScheduler = scheduler;
        mCalls = calls;
        mShards = shards;
    }

    /**
     * Performs an operation.
     *
     * @param operation operation
     * @param validFor time after which the result is told as unanswered
     * @return completes with the result, at the latest after {@code validFor}
     */
    CompletableFuture<Performed> perform(ClaimOperation operation, Duration validFor) {
        CompletableFuture<Performed> result = new CompletableFuture<>();
        Cancellable timer =
                mScheduler.schedule(
                        validFor, () -> result.complete(Performed.unanswered(NO_ANSWER)));
        var unused =
                performAtOwner(operation, validFor)
                        .exceptionally(error -> Performed.unanswered(error.toString()))
                        .thenAccept(
                                performed -> {
                                    timer.cancel();
                                    result.complete(performed);
                                });
        return result;
    }

    private CompletableFuture<Performed> performAtOwner(
            ClaimOperation operation, Duration validFor) {
        Optional<Identity> owner = otherOwnerOf(operation.key());
        if (owner.isEmpty()) {
            return mShards.perform(operation, validFor).thenApply(Performed::here);
        }
        Duration timeout = mSettings.peerTimeout();
        Duration rest = validFor.minus(timeout);
        return mCalls.call(owner.get(), operation, validFor, timeout)
                .thenCompose(
                        reply ->
                                reply.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                Performed.atOwner(reply.get()))
                                        : mShards.perform(operation, rest)
                                                .thenApply(Performed::insteadOfOwner));
    }

    /** Returns the daemon that writes the journal for all, empty if it is this one. */
    private Optional<Identity> otherOwnerOf(KeyHash key) {
        String shard = ShardStore.path(key.shard(mSettings.shards()));
        List<Member> candidates =
                mMembers.members().stream().filter(m -> m.state().acceptsWork()).toList();
        Identity self = mMembers.self().host();
        return Rendezvous.rank(shard, candidates, 1).stream()
                .map(Member::host)
                .filter(host -> !host.equals(self))
                .findFirst();
    }
}
