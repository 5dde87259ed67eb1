package org.amaranthpick.core.register;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private static final long MS = 1_000_000L;

    private final UpstreamHealth mHealth = new UpstreamHealth();

    @Test
    void eachFurtherFailureDoublesTheExclusion() {
        mHealth.onFailure("a", 0);
        assertTrue(mHealth.excluded("a", 799 * MS));
        assertFalse(mHealth.excluded("a", 800 * MS));
        mHealth.onFailure("a", 800 * MS);
        assertTrue(mHealth.excluded("a", 2300 * MS));
        assertFalse(mHealth.excluded("a", 2400 * MS));
    }

    @Test
    void failuresDuringAnExclusionAreIgnored() {
        for (int i = 0; i < 20; i++) {
            mHealth.onFailure("a", i * MS);
        }
        assertFalse(mHealth.excluded("a", 800 * MS));
    }

    @Test
    void aSuccessEndsTheExclusion() {
        mHealth.onFailure("a", 0);
        mHealth.onSuccess("a");
        assertFalse(mHealth.excluded("a", 1));
        assertFalse(mHealth.failing("a"));
    }

    @Test
    void lackOfCapacityIsNoFailure() {
        mHealth.onBusy("a", 0);
        assertTrue(mHealth.excluded("a", 100 * MS));
        assertFalse(mHealth.excluded("a", 300 * MS));
        assertFalse(mHealth.failing("a"));
    }
}
