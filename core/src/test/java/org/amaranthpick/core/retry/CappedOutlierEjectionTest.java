package org.amaranthpick.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CappedOutlierEjectionTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);

    private CappedOutlierEjection ejection(int engines) {
        FleetFixture fleet = new FleetFixture().withDomain("kl-a", "kl");
        for (int i = 0; i < engines; i++) {
            fleet.withEngine("e" + i, "kl-a", 1, 0, 40);
        }
        fleet.build();
        return new CappedOutlierEjection(
                CappedOutlierEjection.Settings.DEFAULT,
                () -> Optional.of(fleet.configuration()),
                mScheduler,
                (kind, subject, text) -> {});
    }

    private static void fail(CappedOutlierEjection ejection, Identity upstream, int times) {
        for (int i = 0; i < times; i++) {
            ejection.onFailure(upstream, "connection refused");
        }
    }

    /** If all engines of a domain fail, only a limited share of them is ejected. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 1", "3, 1", "10, 3", "40, 12"})
    void commonFaultNeverEmptiesADomain(int engines, int ejected) {
        CappedOutlierEjection ejection = ejection(engines);
        for (int i = 0; i < engines; i++) {
            fail(ejection, FleetFixture.engine("e" + i), 10);
        }
        assertEquals(ejected, ejection.ejectedNow().size());
    }

    @ParameterizedTest
    @CsvSource({"2, false", "3, true"})
    void onlyConsecutiveFailuresEject(int failures, boolean ejected) {
        CappedOutlierEjection ejection = ejection(10);
        fail(ejection, FleetFixture.engine("e0"), 2);
        ejection.onSuccess(FleetFixture.engine("e0"));
        fail(ejection, FleetFixture.engine("e0"), failures);
        assertEquals(ejected, ejection.ejected(FleetFixture.engine("e0")));
    }

    /** The duration doubles with each ejection up to a maximum, until the upstream succeeds. */
    @Test
    void repeatedEjectionsLastLonger() {
        CappedOutlierEjection ejection = ejection(10);
        Identity upstream = FleetFixture.engine("e0");
        fail(ejection, upstream, 3);
        for (int seconds : new int[] {5, 10, 20, 40, 60, 60}) {
            mScheduler.advance(Duration.ofSeconds(seconds).minusMillis(1));
            assertTrue(ejection.ejected(upstream));
            mScheduler.advance(Duration.ofMillis(2));
            assertFalse(ejection.ejected(upstream));
            fail(ejection, upstream, 1);
        }
    }
}
