package org.amaranthpick.server;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits of tests for what other threads bring about. */
public final class Await {
    private static final int MAX_CHECKS = 12_000;
    private static final int PAUSE_MS = 5;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param condition condition that holds sooner or later
     * @param what named in the failure
     */
    public static void until(BooleanSupplier condition, String what) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        for (int i = 0; i < MAX_CHECKS; i++) {
            if (condition.getAsBoolean() || never.await(PAUSE_MS, TimeUnit.MILLISECONDS)) {
                return;
            }
        }
        throw new AssertionError("never came: " + what);
    }
}
