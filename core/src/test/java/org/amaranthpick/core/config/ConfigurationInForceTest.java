package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationInForceTest {
    private final Invariants mInvariants = new Invariants();
    private final ConfigurationInForce mInForce =
            new ConfigurationInForce(mInvariants, (kind, subject, text) -> {});

    @ParameterizedTest
    @CsvSource({"5,a,6,b,6,0", "5,a,4,b,5,0", "5,a,1,a,5,0", "5,a,5,a,5,0", "5,a,5,b,5,1"})
    void installsNewerGenerationsOnly(
            long first,
            String firstDigest,
            long second,
            String secondDigest,
            long expected,
            long violations) {
        mInForce.install(new Configuration(first, firstDigest, Manifests.of(1, 1)));
        mInForce.install(new Configuration(second, secondDigest, Manifests.of(1, 2)));
        assertEquals(expected, mInForce.generation());
        assertEquals(violations, mInvariants.violations(Invariant.GENERATION_NEVER_FALLS));
    }
}
