package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.amaranthpick.core.gateway.RecentServices;
import org.amaranthpick.core.gateway.RetryBudget;

/** Retry budget of each service. Confined to one thread. */
final class RetryBudgets {
    /** Fraction of the fixed retry budget that all daemons together use. */
    private static final double EXTRA_FRACTION = 0.7;

    private final Map<String, RetryBudget> mByService = new RecentServices<>();
    private final double mRatio;
    private final DoubleSupplier mExtra;
    private final Duration mWindow;

    RetryBudgets(GatewaySettings settings, IntSupplier daemons) {
        mRatio = settings.retryBudgetRatio();
        mExtra = () -> settings.retryBudgetExtra() * EXTRA_FRACTION / daemons.getAsInt();
        mWindow = settings.retryBudgetWindow();
    }

    RetryBudget forService(String service) {
        return mByService.computeIfAbsent(
                service, name -> new RetryBudget(mRatio, mExtra, mWindow));
    }
}
