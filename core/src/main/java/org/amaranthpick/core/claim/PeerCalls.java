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

/** Sends claim operations to the owners of shards and serves the operations of other daemons. */
final class PeerCalls {
    private static final String NO_REPLY_IN_TIME = "the shard's owner did not reply in time";

    private final PeerNetwork mNetwork;
    private final Scheduler mScheduler;
    private final Map<Long, OutstandingCall> mOutstanding = new ConcurrentHashMap<>();
    private final Set<ServedCall> mServed = Collections.newSetFromMap(new RecentCalls());
    private final AtomicLong mCallId;

    /**
     * Creates the calls and registers the handler of replies.
     *
     * @param network transport to other daemons
     * @param scheduler clock and timers
     * @param firstCallId random number drawn at the process start, so that a reply to an earlier
     *     process of this host does not match a call of this process
     */
    PeerCalls(PeerNetwork network, Scheduler scheduler, long firstCallId) {
        mNetwork = network;
        mScheduler = scheduler;
        mCallId = new AtomicLong(firstCallId);
        network.handle(ClaimMessage.REPLY_TAG, (from, message) -> onReply(message));
    }

    /**
     * Serves the calls of other daemons.
     *
     * @param performer performs the operation of a call
     */
    void serve(Function<ClaimMessage.Call, CompletableFuture<ShardReply>> performer) {
        mNetwork.handle(ClaimMessage.CALL_TAG, (from, message) -> onCall(from, message, performer));
    }

    /**
     * Sends an operation to another daemon, without retries.
     *
     * @param owner host of the daemon that owns the shard
     * @param operation operation to perform
     * @param validFor time for which the reply is of use
     * @param timeout time to wait for the owner to confirm the call or reply
     * @return completes with the reply, unavailable after {@code validFor}; empty if the owner
     *     neither confirmed nor replied in time
     */
    CompletableFuture<Optional<ShardReply>> call(
            Identity owner, ClaimOperation operation, Duration validFor, Duration timeout) {
        long callId = mCallId.incrementAndGet();
        OutstandingCall outstanding =
                new OutstandingCall(new CompletableFuture<>(), new AtomicBoolean());
        mOutstanding.put(callId, outstanding);
        Cancellable confirmationTimer =
                mScheduler.schedule(timeout, () -> onConfirmationTimeout(callId));
        Cancellable replyTimer =
                mScheduler.schedule(
                        validFor,
                        () ->
                                complete(
                                        callId,
                                        Optional.of(ShardReply.unavailable(NO_REPLY_IN_TIME))));
        mNetwork.send(owner, new ClaimMessage.Call(callId, operation, validFor));
        return outstanding
                .reply()
                .whenComplete(
                        (reply, error) -> {
                            confirmationTimer.cancel();
                            replyTimer.cancel();
                        });
    }

    private void onConfirmationTimeout(long callId) {
        OutstandingCall outstanding = mOutstanding.get(callId);
        if (outstanding != null && !outstanding.confirmed().get()) {
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
        OutstandingCall outstanding = mOutstanding.get(reply.callId());
        if (outstanding != null) {
            outstanding.confirmed().set(true);
        }
    }

    private void complete(long callId, Optional<ShardReply> reply) {
        OutstandingCall outstanding = mOutstanding.remove(callId);
        if (outstanding != null) {
            outstanding.reply().complete(reply);
        }
    }

    private void onCall(
            Identity from,
            PeerMessage message,
            Function<ClaimMessage.Call, CompletableFuture<ShardReply>> performer) {
        if (message instanceof ClaimMessage.Call call && isFirst(from, call.callId())) {
            CompletableFuture<ShardReply> reply = performer.apply(call);
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
            return mServed.add(new ServedCall(from, callId));
        }
    }

    /**
     * Call that awaits its reply.
     *
     * @param reply completes with the reply
     * @param confirmed true once the owner has confirmed the call
     */
    private record OutstandingCall(
            CompletableFuture<Optional<ShardReply>> reply, AtomicBoolean confirmed) {}

    /**
     * Call of another daemon that was served.
     *
     * @param from host of the caller
     * @param callId number of the call
     */
    private record ServedCall(Identity from, long callId) {}

    /** Most recent calls served, by which a duplicate message is recognized. */
    private static final class RecentCalls extends LinkedHashMap<ServedCall, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MAX_CALLS = 4096;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServedCall, Boolean> eldest) {
            return size() > MAX_CALLS;
        }
    }
}
