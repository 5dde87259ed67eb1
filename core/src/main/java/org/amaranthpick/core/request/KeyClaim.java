package org.amaranthpick.core.request;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.claim.ClaimTicket;
import org.amaranthpick.core.claim.Claims;

/** Claim of the idempotency key of one request. Confined to the request's event queue. */
final class KeyClaim {
    private final Claims mClaims;
    private final RequestMetadata mMetadata;
    private final ExchangeContext mContext;
    private Optional<ClaimTicket> mTicket = Optional.empty();

    KeyClaim(ExchangeContext context, RequestMetadata metadata) {
        mClaims = context.dependencies().claims();
        mMetadata = metadata;
        mContext = context;
    }

    /**
     * Returns whether the request may only be sent with a granted claim.
     *
     * @return true if the request is not idempotent and has a key
     */
    boolean isNeeded() {
        return !mMetadata.idempotent() && mMetadata.idempotencyKey().isPresent();
    }

    /**
     * Returns whether the claim was granted.
     *
     * @return true after {@link #onGranted}
     */
    boolean isHeld() {
        return mTicket.isPresent();
    }

    /**
     * Requests the claim.
     *
     * @param bodyDigest digest of the request body
     * @param callback receives the result, on any thread
     */
    void request(String bodyDigest, Consumer<ClaimResult> callback) {
        ClaimKey key =
                new ClaimKey(mMetadata.workspace().id(), mMetadata.idempotencyKey().orElseThrow());
        var unused =
                mClaims.claim(key, mMetadata.requestId(), bodyDigest)
                        .exceptionally(error -> new ClaimResult.Unavailable(error.toString()))
                        .thenAccept(callback);
    }

    /**
     * Records that the claim was granted.
     *
     * @param ticket proof of the claim
     */
    void onGranted(ClaimTicket ticket) {
        mTicket = Optional.of(ticket);
    }

    /**
     * Releases a claim that was granted after the request had ended.
     *
     * @param ticket proof of the claim
     */
    void releaseUnused(ClaimTicket ticket) {
        mContext.trackSettlement(mClaims.release(ticket));
    }

    /**
     * Settles the claim according to the outcome, if it was granted.
     *
     * @param outcome outcome of the request
     * @param answerToStore supplies the complete answer, empty if there is none to store
     */
    void settle(Outcome outcome, Supplier<Optional<ClaimAnswer>> answerToStore) {
        if (mTicket.isEmpty()) {
            return;
        }
        ClaimTicket ticket = mTicket.get();
        Optional<ClaimAnswer> answer = answerToStore.get();
        if (outcome instanceof Outcome.NotRun) {
            mContext.trackSettlement(mClaims.release(ticket));
        } else if (answer.isPresent()) {
            mContext.trackSettlement(mClaims.complete(ticket, answer.get()));
        } else {
            mContext.trackSettlement(mClaims.markLost(ticket));
        }
    }
}
