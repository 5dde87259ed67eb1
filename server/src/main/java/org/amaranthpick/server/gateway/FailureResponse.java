package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Optional;

/**
 * Response to a request that no upstream has answered.
 *
 * @param outcome outcome for the log and the metrics
 * @param action sends the response
 */
record FailureResponse(String outcome, Runnable action) {
    void send() {
        action.run();
    }

    /**
     * Sends the response to a caller of whom no more bytes come. It may have left, or have closed
     * its sending side only. A response that has begun is broken off instead.
     */
    void sendLast(HttpServerExchange exchange, CallerResponseWriter writer) {
        if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
            writer.abort();
        } else {
            exchange.setPersistent(false);
            send();
        }
    }

    /** Selects the response by whether the request may have run. */
    static final class Selector {
        private final HttpServerExchange mExchange;
        private final ForwardedRequest mRequest;
        private final GatewayResponses mResponses;
        private final SendHistory mSends;
        private final PromptCrashGuard mCrashGuard;
        private final ExchangeAdmission mAdmission;

        Selector(
                HttpServerExchange exchange,
                ForwardedRequest request,
                GatewayResponses responses,
                SendHistory sends,
                PromptCrashGuard crashGuard,
                ExchangeAdmission admission) {
            mExchange = exchange;
            mRequest = request;
            mResponses = responses;
            mSends = sends;
            mCrashGuard = crashGuard;
            mAdmission = admission;
        }

        /**
         * Selects the response.
         *
         * @param remainingTime time until the caller must have a response
         * @param margin time reserved for delivering it
         */
        FailureResponse select(Duration remainingTime, Duration margin) {
            String id = mRequest.metadata().requestId();
            if (mSends.mayHaveRun()) {
                boolean timedOut = remainingTime.compareTo(margin.multipliedBy(2)) < 0;
                return new FailureResponse(
                        timedOut ? "timeout" : "interrupted",
                        () -> mResponses.sendInterrupted(mExchange, id, timedOut));
            }
            Optional<Duration> quarantineTime = mCrashGuard.quarantineTimeLeft();
            if (quarantineTime.isPresent()) {
                return new FailureResponse(
                        "refused",
                        () -> mResponses.sendQuarantined(mExchange, id, quarantineTime.get()));
            }
            return new FailureResponse(
                    "refused",
                    () ->
                            mResponses.sendNotRun(
                                    mExchange, id, remainingTime, mAdmission.retryTime()));
        }
    }
}
