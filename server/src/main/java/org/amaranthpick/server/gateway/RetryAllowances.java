package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.amaranthpick.core.gateway.RetryAllowance;

/** Allowances for repeats, one for each service. Confined to one thread. */
final class RetryAllowances {
    private final Map<String, RetryAllowance> mByService = new HashMap<>();
    private final double mRatio;
    private final DoubleSupplier mFixed;
    private final Duration mWindow;

    RetryAllowances(double ratio, DoubleSupplier fixed, Duration window) {
        mRatio = ratio;
        mFixed = fixed;
        mWindow = window;
    }

    RetryAllowance of(String service) {
        return mByService.computeIfAbsent(
                service, name -> new RetryAllowance(mRatio, mFixed, mWindow));
    }
}
