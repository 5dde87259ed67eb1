package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.amaranthpick.core.gateway.RecentServices;
import org.amaranthpick.core.gateway.RetryBudget;

/** Retry budget of each service. Confined to one thread. */
final class RetryBudgets {
    private final Map<String, RetryBudget> mByService = new RecentServices<>();
    private final double mRatio;
    private final DoubleSupplier mExtra;
    private final Duration mWindow;

    RetryBudgets(double ratio, DoubleSupplier extra, Duration window) {
        mRatio = ratio;
        mExtra = extra;
        mWindow = window;
    }

    RetryBudget forService(String service) {
        return mByService.computeIfAbsent(
                service, name -> new RetryBudget(mRatio, mExtra, mWindow));
    }
}
