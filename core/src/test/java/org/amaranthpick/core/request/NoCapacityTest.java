package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A request without a chain must not eat the retry budget of all others. */
class NoCapacityTest {
    @Test
    void eachTryWithoutAChainCountsAsAnAttempt() {
        RequestFixture fixture = new RequestFixture(new MapClaims());
        fixture.mNoCapacity = true;
        RecordingSink sink = new RecordingSink();
        fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        fixture.mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(List.of(1, 2, 3, 4, 5), fixture.mRetries.mAttempts);
        Outcome.NotRun outcome = assertInstanceOf(Outcome.NotRun.class, sink.outcome());
        assertEquals(RefusalReason.NO_CAPACITY, outcome.reason());
    }
}
