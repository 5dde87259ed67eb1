package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Calls to the shards of other daemons, and answers to theirs. */
final class PeerCalls {
    private static final String SLOW = "the shard's owner gave no answer in time";

    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final Map<Long, Waiting> mWaiting = new ConcurrentHashMap<>();
    private final Set<Served> mServed = Collections.newSetFromMap(new RecentCalls());
    private final AtomicLong mCallId;

    /**
     * Registers for replies.
     *
     * @param network messages to other daemons
     * @param scheduler timers
     * @param firstCallId number drawn at random at the process start, so that a reply to an earlier
     *     process of this host never matches a call of this one
     */
    PeerCalls(PeerNetwork network, Scheduler scheduler, long firstCallId) {
        mNetwork = network;
        mScheduler = scheduler;
        mCallId = new AtomicLong(firstCallId);
        network.handle(ClaimMessage.REPLY_TAG, (from, message) -> onReply(message));
    }

    /**
     * Serves the calls of others.
     *
     * @param shards performs a call
     */
    void serve(Function<ClaimMessage.Call, CompletableFuture<ShardReply>> shards) {
        mNetwork.handle(ClaimMessage.CALL_TAG, (from, message) -> onCall(from, message, shards));
    }

    /**
     * Calls another daemon once.
     *
     * @param owner host of the daemon
     * @param operation operation
     * @param validFor time for which the operation is wanted
     * @param timeout time to wait for a sign of the owner
     * @return completes with the reply, unavailable after {@code validFor}; empty if the owner gave
     *     no sign
     */
    CompletableFuture<Optional<ShardReply>> call(
            Identity owner, ClaimOperation operation, Duration validFor, Duration timeout) {
        long callId = mCallId.incrementAndGet();
        Waiting waiting = new Waiting(new CompletableFuture<>(), new AtomicBoolean());
        mWaiting.put(callId, waiting);
        Cancellable signTimer = mScheduler.schedule(timeout, () -> onNoSign(callId));
        Cancellable replyTimer =
                mScheduler.schedule(
                        validFor,
                        () -> complete(callId, Optional.of(ShardReply.unavailable(SLOW))));
        mNetwork.send(owner, new ClaimMessage.Call(callId, operation, validFor));
        return waiting.reply()
                .whenComplete(
                        (reply, error) -> {
                            signTimer.cancel();
                            replyTimer.cancel();
                        });
    }

    private void onNoSign(long callId) {
        Waiting waiting = mWaiting.get(callId);
        if (waiting != null && !waiting.confirmed().get()) {
            complete(callId, Optional.empty());
        }
    }

    private void onReply(PeerMessage message) {
        if (!(message instanceof ClaimMessage.Reply reply)) {
            return;
        }
        if (reply.reply().kind() != ShardReply.Kind.PENDING) {
            complete(reply.callId(), Optional.of(reply.reply()));
            return;
        }
        Waiting waiting = mWaiting.get(reply.callId());
        if (waiting != null) {
            waiting.confirmed().set(true);
        }
    }

    private void complete(long callId, Optional<ShardReply> reply) {
        Waiting waiting = mWaiting.remove(callId);
        if (waiting != null) {
            waiting.reply().complete(reply);
        }
    }

    private void onCall(
            Identity from,
            PeerMessage message,
            Function<ClaimMessage.Call, CompletableFuture<ShardReply>> shards) {
        if (message instanceof ClaimMessage.Call call && isFirst(from, call.callId())) {
            CompletableFuture<ShardReply> reply = shards.apply(call);
            if (!reply.isDone()) {
                ShardReply pending = ShardReply.of(ShardReply.Kind.PENDING);
                mNetwork.send(from, new ClaimMessage.Reply(call.callId(), pending));
            }
            var unused =
                    reply.thenAccept(
                            r -> mNetwork.send(from, new ClaimMessage.Reply(call.callId(), r)));
        }
    }

    private boolean isFirst(Identity from, long callId) {
        synchronized (mServed) {
            return mServed.add(new Served(from, callId));
        }
    }

    /**
     * Call that waits for its reply.
     *
     * @param reply completes with the reply
     * @param confirmed true once the owner said that it has the call
     */
    private record Waiting(
            CompletableFuture<Optional<ShardReply>> reply, AtomicBoolean confirmed) {}

    /**
     * Call that was served.
     *
     * @param from host of the caller
     * @param callId number of the call
     */
    private record Served(Identity from, long callId) {}

    /** The newest calls served, so that a doubled message is served once. */
    private static final class RecentCalls extends LinkedHashMap<Served, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MAX_CALLS = 4096;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Served, Boolean> eldest) {
            return size() > MAX_CALLS;
        }
    }
}
