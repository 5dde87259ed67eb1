package org.amaranthpick.core.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.claim.ClaimTicket;
import org.amaranthpick.core.claim.Claims;

/** Claims in a map, for tests of the request path without a store. */
final class InMemoryClaims implements Claims {
    final Map<ClaimKey, ClaimResult> mStates = new HashMap<>();

    @Override
    public CompletionStage<ClaimResult> claim(ClaimKey key, String requestId, String bodyDigest) {
        ClaimResult existing = mStates.putIfAbsent(key, new ClaimResult.InProgress());
        return CompletableFuture.completedFuture(
                existing == null
                        ? new ClaimResult.Granted(new ClaimTicket(key, requestId))
                        : existing);
    }

    @Override
    public CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer) {
        return settle(ticket, new ClaimResult.Completed(answer));
    }

    @Override
    public CompletionStage<Void> markLost(ClaimTicket ticket) {
        return settle(ticket, new ClaimResult.OutcomeUnknown());
    }

    @Override
    public CompletionStage<Void> release(ClaimTicket ticket) {
        mStates.remove(ticket.key());
        return CompletableFuture.completedFuture(null);
    }

    private CompletionStage<Void> settle(ClaimTicket ticket, ClaimResult result) {
        mStates.put(ticket.key(), result);
        return CompletableFuture.completedFuture(null);
    }
}
