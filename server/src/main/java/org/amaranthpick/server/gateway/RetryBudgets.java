package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.amaranthpick.core.gateway.RetryAllowance;

/** Retry budget of each service. Confined to one thread. */
final class RetryBudgets {
    private final Map<String, RetryAllowance> mByService = new HashMap<>();
    private final double mRatio;
    private final DoubleSupplier mExtra;
    private final Duration mWindow;

    RetryBudgets(double ratio, DoubleSupplier extra, Duration window) {
        mRatio = ratio;
        mExtra = extra;
        mWindow = window;
    }

    RetryAllowance forService(String service) {
        return mByService.computeIfAbsent(
                service, name -> new RetryAllowance(mRatio, mExtra, mWindow));
    }
}
