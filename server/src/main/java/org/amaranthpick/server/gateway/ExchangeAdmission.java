package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.gateway.admission.AdmissionCandidate;
import org.amaranthpick.core.gateway.admission.AdmissionTicket;
import org.amaranthpick.core.gateway.admission.LoadDecision;
import org.amaranthpick.core.gateway.admission.RequestWork;

/** Admission of one request before it is first sent, and what its caller is told if it is not. */
final class ExchangeAdmission {
    static final String NO_PATH = "no path to the upstreams";

    /** Time after which callers of a host without a path return; other hosts may have one. */
    private static final Duration NO_PATH_RETRY_TIME = Duration.ofMillis(250);

    private final OpenExchange mOpen;
    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final Consumer<String> mAdmitted;
    private final Consumer<String> mTurnedAway;
    private Optional<AdmissionTicket> mTicket = Optional.empty();
    private Optional<LoadDecision> mRefusal = Optional.empty();

    /**
     * Creates the admission.
     *
     * @param open runs the steps of the exchange
     * @param request the request
     * @param context components of the gateway
     * @param admitted sends the request, given the details for the log
     * @param turnedAway refuses the request, which has not run, given the reason
     */
    ExchangeAdmission(
            OpenExchange open,
            ForwardedRequest request,
            GatewayContext context,
            Consumer<String> admitted,
            Consumer<String> turnedAway) {
        mOpen = open;
        mRequest = request;
        mContext = context;
        mAdmitted = admitted;
        mTurnedAway = turnedAway;
    }

    /** Asks for a decision. A request of a plain service is admitted at once. */
    void start() {
        mTicket =
                mRequest.service()
                        .model()
                        .map(model -> mContext.loadAdmission().ticket(candidate(model)));
        mTicket.ifPresentOrElse(
                ticket -> ticket.request(decision -> mOpen.run(() -> onDecision(decision))),
                () -> mAdmitted.accept("first"));
    }

    private AdmissionCandidate candidate(EngineModel model) {
        return new AdmissionCandidate(
                mRequest.service(),
                mRequest.route(),
                mRequest.priority(),
                mRequest.workspace(),
                RequestWork.of(mRequest.metadata().work(), model),
                mRequest.body().length,
                mRequest.receivedNs(),
                mRequest.timeLimit());
    }

    private void onDecision(LoadDecision decision) {
        mContext.metrics().onAdmission(mRequest.priority(), decision);
        if (decision.outcome() == LoadDecision.Outcome.REFUSED) {
            mRefusal = Optional.of(decision);
            mTurnedAway.accept("turned away, " + describe(decision));
        } else if (mContext.upstreams().isIsolated()) {
            mTurnedAway.accept(NO_PATH);
        } else if (decision.reason() == LoadDecision.Reason.UNKNOWN
                && !mContext.targetPolicy().admits(mRequest.service(), nowNs())) {
            mTurnedAway.accept(
                    "most of the capacity is lost: "
                            + mContext.targetPolicy().describeCapacity(mRequest.service()));
        } else {
            mAdmitted.accept(
                    decision.figures().isEmpty() ? "first" : "first, " + describe(decision));
        }
    }

    private static String describe(LoadDecision decision) {
        return String.format(
                Locale.ROOT,
                "%s: waited_ms %d, retry_after_ms %d, %s",
                decision.reason().name().toLowerCase(Locale.ROOT),
                decision.waited().toMillis(),
                decision.retryAfter().toMillis(),
                decision.figures());
    }

    /** Returns the predicted time until the request could be sent, empty if unknown. */
    Optional<Duration> retryTime() {
        if (mContext.upstreams().isIsolated()) {
            return Optional.of(NO_PATH_RETRY_TIME);
        }
        return mRefusal.map(LoadDecision::retryAfter)
                .or(
                        () ->
                                mContext.targetPolicy()
                                        .expectedCapacityTime(mRequest.service(), nowNs()));
    }

    void onFirstEvent() {
        mTicket.ifPresent(AdmissionTicket::onFirstEvent);
    }

    /** Ends the request; one that still waits for a decision gets none. */
    void close(boolean answered) {
        mTicket.ifPresent(ticket -> ticket.close(answered));
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
