package org.amaranthpick.core.request;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.claim.ClaimTicket;
import org.amaranthpick.core.claim.Claims;

/** Claim of one request's idempotency key. Confined to the request's event queue. */
final class KeyClaim {
    private final Claims mClaims;
    private final ExchangeTerms mTerms;
    private final ExchangeOwner mOwner;
    private Optional<ClaimTicket> mTicket = Optional.empty();

    KeyClaim(ExchangeOwner owner, ExchangeTerms terms) {
        mClaims = owner.parts().claims();
        mTerms = terms;
        mOwner = owner;
    }

    /**
     * Tells whether the request may be sent only with a claim.
     *
     * @return true if it must run at most once and has a key
     */
    boolean isNeeded() {
        return !mTerms.idempotent() && mTerms.idempotencyKey().isPresent();
    }

    /**
     * Tells whether the claim was granted.
     *
     * @return true from {@link #hold} on
     */
    boolean isHeld() {
        return mTicket.isPresent();
    }

    /**
     * Asks for the claim.
     *
     * @param bodyDigest digest of the request body
     * @param then told of the result, on any thread
     */
    void ask(String bodyDigest, Consumer<ClaimResult> then) {
        ClaimKey key = new ClaimKey(mTerms.workspace().id(), mTerms.idempotencyKey().orElseThrow());
        var unused =
                mClaims.claim(key, mTerms.requestId(), bodyDigest)
                        .exceptionally(error -> new ClaimResult.Unavailable(error.toString()))
                        .thenAccept(then);
    }

    /**
     * Takes a granted claim.
     *
     * @param ticket proof of the claim
     */
    void hold(ClaimTicket ticket) {
        mTicket = Optional.of(ticket);
    }

    /**
     * Gives back a claim granted after the request had ended.
     *
     * @param ticket proof of the claim
     */
    void giveBack(ClaimTicket ticket) {
        mOwner.settle(mClaims.release(ticket));
    }

    /**
     * Settles the claim, if it was granted.
     *
     * @param outcome outcome of the request
     * @param answerToKeep gives the answer to keep, empty if none is whole or it is too long
     */
    void settle(Outcome outcome, Supplier<Optional<ClaimAnswer>> answerToKeep) {
        if (mTicket.isEmpty()) {
            return;
        }
        ClaimTicket ticket = mTicket.get();
        Optional<ClaimAnswer> answer = answerToKeep.get();
        if (outcome instanceof Outcome.NotRun) {
            mOwner.settle(mClaims.release(ticket));
        } else if (answer.isPresent()) {
            mOwner.settle(mClaims.done(ticket, answer.get()));
        } else {
            mOwner.settle(mClaims.lost(ticket));
        }
    }
}
