package org.amaranthpick.core.claim;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Calls to the shards of other daemons, and answers to theirs. */
final class PeerCalls {
    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final Map<Long, CompletableFuture<Optional<ShardReply>>> mWaiting =
            new ConcurrentHashMap<>();
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
     * @param timeout time to wait for the reply
     * @return completes with the reply, or empty at the timeout
     */
    CompletableFuture<Optional<ShardReply>> call(
            Identity owner, ClaimOperation operation, Duration validFor, Duration timeout) {
        long callId = mCallId.incrementAndGet();
        CompletableFuture<Optional<ShardReply>> reply = new CompletableFuture<>();
        mWaiting.put(callId, reply);
        Cancellable timer = mScheduler.schedule(timeout, () -> complete(callId, Optional.empty()));
        mNetwork.send(owner, new ClaimMessage.Call(callId, operation, validFor));
        return reply.whenComplete((r, error) -> timer.cancel());
    }

    private void onReply(PeerMessage message) {
        if (message instanceof ClaimMessage.Reply reply) {
            complete(reply.callId(), Optional.of(reply.reply()));
        }
    }

    private void complete(long callId, Optional<ShardReply> reply) {
        CompletableFuture<Optional<ShardReply>> waiting = mWaiting.remove(callId);
        if (waiting != null) {
            waiting.complete(reply);
        }
    }

    private void onCall(
            Identity from,
            PeerMessage message,
            Function<ClaimMessage.Call, CompletableFuture<ShardReply>> shards) {
        if (message instanceof ClaimMessage.Call call && isFirst(from, call.callId())) {
            var unused =
                    shards.apply(call)
                            .thenAccept(
                                    reply ->
                                            mNetwork.send(
                                                    from,
                                                    new ClaimMessage.Reply(call.callId(), reply)));
        }
    }

    private boolean isFirst(Identity from, long callId) {
        synchronized (mServed) {
            return mServed.add(new Served(from, callId));
        }
    }

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
