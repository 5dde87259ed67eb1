package org.amaranthpick.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.SerialQueue;

/**
 * Life of one request up to its outcome: admission, claim, attempts with retries, outcome. Every
 * method but the handle's runs on the request's event queue.
 */
abstract class Exchange implements RequestHandle {
    private static final String CALLER_GONE = "the caller went away";

    private final RouterParts mParts;
    private final RequestSettings mSettings;
    private final ExchangeOwner mOwner;
    private final ExchangeTerms mTerms;
    private final SerialQueue mQueue;
    private final KeyClaim mClaim;
    private final AttemptHistory mHistory = new AttemptHistory();
    private final Set<Identity> mExcluded = new HashSet<>(1);
    private Phase mPhase = new Phase.Fresh();
    private int mFailures;
    private Duration mWaited = Duration.ZERO;
    private Cancellable mAdmission = () -> {};
    private Cancellable mDeadlineTimer = () -> {};
    private Optional<Permit> mPermit = Optional.empty();
    private boolean mCallerGone;

    Exchange(ExchangeOwner owner, ExchangeTerms terms) {
        mParts = owner.parts();
        mSettings = owner.settings();
        mOwner = owner;
        mTerms = terms;
        mClaim = new KeyClaim(owner, terms);
        mQueue = new SerialQueue(this::onEventFailure);
    }

    /**
     * Describes the request to admission.
     *
     * @return what is asked for
     */
    abstract AdmissionRequest admissionRequest();

    /**
     * Returns the digest by which a repeat with another body is told apart.
     *
     * @return digest
     */
    abstract String bodyDigest();

    /** Starts the next attempt. */
    abstract void startAttempt();

    /** Stops the attempt in progress, if any; its late events are ignored. */
    abstract void stopAttempt();

    /**
     * Tells the caller the outcome.
     *
     * @param outcome the outcome
     */
    abstract void deliver(Outcome outcome);

    /**
     * Tells a caller that went away its outcome and lets the request run on without it.
     *
     * @param outcome outcome to tell
     */
    abstract void detachCaller(Outcome outcome);

    /**
     * Tells the caller the kept answer of an earlier request.
     *
     * @param answer kept answer
     */
    abstract void deliverKept(ClaimAnswer answer);

    /**
     * Returns the answer to keep for repeats.
     *
     * @return answer, empty if there is none or it is too long
     */
    abstract Optional<ClaimAnswer> answerToKeep();

    /**
     * Counts what the answer used.
     *
     * @return tokens, prompt included
     */
    abstract int tokensUsed();

    /**
     * Counts the tokens that the caller has got.
     *
     * @return tokens emitted
     */
    abstract int tokensEmitted();

    /** Starts the life. */
    final void start() {
        mQueue.post(this::admit);
    }

    @Override
    public void cancel() {
        mQueue.post(this::onCallerGone);
    }

    /**
     * Ends the request because this host stops now.
     *
     * @param reason why
     */
    final void interrupt(String reason) {
        mQueue.post(
                () -> giveUp(RefusalReason.LEAVING, reason, Optional.of(mSettings.retryAfter())));
    }

    final RouterParts parts() {
        return mParts;
    }

    final RequestSettings settings() {
        return mSettings;
    }

    final FrameCounters frames() {
        return mOwner.frames();
    }

    final ExchangeTerms terms() {
        return mTerms;
    }

    final AttemptHistory history() {
        return mHistory;
    }

    final Set<Identity> excluded() {
        return mExcluded;
    }

    final boolean isRunning() {
        return mPhase instanceof Phase.Running;
    }

    final boolean hasEnded() {
        return mPhase instanceof Phase.Ended;
    }

    /**
     * Tells whether a further attempt may follow one that may have run.
     *
     * @return true for idempotent requests
     */
    final boolean mayRepeat() {
        return mTerms.idempotent();
    }

    final void post(Runnable event) {
        mQueue.post(event);
    }

    final void record(DecisionKind kind, String text) {
        mParts.decisions().record(kind, mTerms.requestId(), text);
    }

    final Optional<Duration> timeLeft() {
        Instant now = mParts.scheduler().instant();
        return mTerms.deadline().map(deadline -> Duration.between(now, deadline));
    }

    /**
     * Starts an attempt in the history.
     *
     * @return its number
     */
    final int beginAttempt() {
        mParts.invariants()
                .check(
                        Invariant.AT_MOST_ONCE,
                        mayRepeat() || !mHistory.mayHaveRun(),
                        "%s starts another attempt after %s",
                        mTerms.requestId(),
                        mHistory);
        return mHistory.start();
    }

    /**
     * Decides what follows a failed attempt or a missing chain.
     *
     * @param reason what was seen
     * @param retryAfter when the upstream said to come back, if it did
     * @param giveUpAs reason told if the request did not run and is given up
     */
    final void retryOrGiveUp(String reason, Optional<Duration> retryAfter, RefusalReason giveUpAs) {
        if (!mayRepeat() && mHistory.mayHaveRun()) {
            record(DecisionKind.RETRY, "none: it must not run twice and may have run");
            giveUp(giveUpAs, reason, Optional.empty());
            return;
        }
        int attempt = ++mFailures;
        Optional<Duration> wait = mParts.retries().next(mTerms.requestId(), attempt, timeLeft());
        if (wait.isEmpty() || endsBefore(wait.get())) {
            record(DecisionKind.RETRY, "none after attempt " + attempt + ": budget or deadline");
            giveUp(giveUpAs, reason, retryAfter.or(() -> Optional.of(mSettings.retryAfter())));
            return;
        }
        record(
                DecisionKind.RETRY,
                "attempt follows in " + wait.get().toMillis() + " ms: " + reason);
        backOff(wait.get());
    }

    /**
     * Waits a little for a chain. It costs nothing of the retry budget, since nothing is sent.
     *
     * @param reason what is missing
     * @return false if the request has waited for long enough or its deadline comes first
     */
    final boolean lookAgain(String reason) {
        Duration wait = mSettings.capacityRecheck();
        boolean patient = mWaited.plus(wait).compareTo(mSettings.capacityPatience()) <= 0;
        if (!patient || endsBefore(wait)) {
            return false;
        }
        if (mWaited.isZero()) {
            record(
                    DecisionKind.RETRY,
                    "waits up to " + mSettings.capacityPatience().toSeconds() + " s: " + reason);
        }
        mWaited = mWaited.plus(wait);
        backOff(wait);
        return true;
    }

    /**
     * Ends the request without a whole answer, told as it truly is.
     *
     * @param reason reason if it did not run
     * @param message what happened
     * @param retryAfter when to come back, where that helps
     */
    final void giveUp(RefusalReason reason, String message, Optional<Duration> retryAfter) {
        if (hasEnded()) {
            return;
        }
        stopAttempt();
        if (mHistory.mayHaveRun()) {
            finish(Outcomes.interrupted(message, mayRepeat(), tokensEmitted()));
        } else {
            finish(Outcomes.notRun(reason, message, retryAfter));
        }
    }

    /**
     * Tells the outcome and frees what the request holds.
     *
     * @param outcome the outcome
     */
    final void finish(Outcome outcome) {
        if (!enterEnd(outcome)) {
            return;
        }
        mClaim.settle(outcome, this::answerToKeep);
        record(DecisionKind.OUTCOME, Outcomes.describe(outcome));
        try {
            deliver(outcome);
        } finally {
            mOwner.onEnded(this);
        }
    }

    /**
     * Ends the request, unless it holds a key and may have run: then it runs on, so that a repeat
     * with the key gets its answer.
     */
    private void onCallerGone() {
        if (!hasEnded() && mClaim.isHeld() && mHistory.mayHaveRun() && !mCallerGone) {
            mCallerGone = true;
            record(DecisionKind.OUTCOME, "the caller went away; runs on for its key");
            detachCaller(Outcomes.interrupted(CALLER_GONE, mayRepeat(), tokensEmitted()));
            return;
        }
        giveUp(RefusalReason.CANCELLED, CALLER_GONE, Optional.empty());
    }

    private void admit() {
        mParts.retries().onRequest();
        timeLeft().ifPresent(this::armDeadline);
        mPhase = new Phase.Admitting();
        mAdmission =
                mParts.admission()
                        .request(admissionRequest(), decision -> post(() -> onAdmission(decision)));
    }

    private void armDeadline(Duration left) {
        mDeadlineTimer = mParts.scheduler().schedule(left, () -> post(this::onDeadline));
    }

    private void onDeadline() {
        giveUp(RefusalReason.DEADLINE_UNREACHABLE, "the deadline passed", Optional.empty());
    }

    private void onAdmission(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Admitted admitted) {
            onAdmitted(admitted.permit());
        } else if (decision instanceof AdmissionDecision.Refused refused && !hasEnded()) {
            record(DecisionKind.ADMISSION, "refused: " + refused.message());
            finish(Outcomes.notRun(refused.reason(), refused.message(), refused.retryAfter()));
        }
    }

    private void onAdmitted(Permit permit) {
        if (!(mPhase instanceof Phase.Admitting)) {
            permit.close();
            return;
        }
        mPermit = Optional.of(permit);
        record(DecisionKind.ADMISSION, "admitted");
        if (!mClaim.isNeeded()) {
            run();
            return;
        }
        mPhase = new Phase.Claiming();
        mClaim.ask(bodyDigest(), result -> post(() -> onClaim(result)));
    }

    private void onClaim(ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted && hasEnded()) {
            mClaim.giveBack(granted.ticket());
        } else if (hasEnded()) {
            return;
        } else if (result instanceof ClaimResult.Granted granted) {
            mClaim.hold(granted.ticket());
            record(DecisionKind.CLAIM, "granted");
            run();
        } else if (result instanceof ClaimResult.Kept kept) {
            record(DecisionKind.CLAIM, "not granted: an earlier request was answered");
            finishKept(kept.answer());
        } else {
            record(DecisionKind.CLAIM, "not granted: " + result);
            finish(Outcomes.notGranted(result, mSettings.retryAfter()));
        }
    }

    private void finishKept(ClaimAnswer answer) {
        if (!enterEnd(new Outcome.Replayed("", ""))) {
            return;
        }
        record(DecisionKind.OUTCOME, "kept answer of an earlier request");
        try {
            deliverKept(answer);
        } finally {
            mOwner.onEnded(this);
        }
    }

    private void backOff(Duration wait) {
        mPhase =
                new Phase.BackingOff(
                        mParts.scheduler().schedule(wait, () -> post(this::resumeAfterWait)));
    }

    private void resumeAfterWait() {
        if (mPhase instanceof Phase.BackingOff) {
            run();
        }
    }

    private void run() {
        mPhase = new Phase.Running();
        startAttempt();
    }

    private boolean endsBefore(Duration wait) {
        return timeLeft().map(left -> left.compareTo(wait) <= 0).orElse(false);
    }

    private boolean enterEnd(Outcome outcome) {
        String id = mTerms.requestId();
        if (!mParts.invariants()
                .check(Invariant.ONE_OUTCOME, !hasEnded(), "%s has another outcome", id)) {
            return false;
        }
        mParts.invariants()
                .check(
                        Invariant.NOT_RUN_IS_TRUE,
                        !(outcome instanceof Outcome.NotRun) || !mHistory.mayHaveRun(),
                        "%s is told as not run after %s",
                        id,
                        mHistory);
        if (mPhase instanceof Phase.BackingOff waiting) {
            waiting.timer().cancel();
        }
        mPhase = new Phase.Ended();
        mAdmission.cancel();
        mDeadlineTimer.cancel();
        mPermit.ifPresent(this::free);
        return true;
    }

    private void free(Permit permit) {
        permit.used(tokensUsed());
        permit.close();
    }

    private void onEventFailure(RuntimeException e) {
        String message = "internal failure: " + e;
        post(() -> giveUp(RefusalReason.UPSTREAM_REFUSED, message, Optional.empty()));
    }
}
