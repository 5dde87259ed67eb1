package org.amaranthpick.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak; more seeds are played by hand. */
class SoakTest {
    private static final Duration FAULTS = Duration.ofSeconds(3);
    private static final int COUNT = 8;
    private static final Duration PLANNED = Duration.ofSeconds(8);
    private static final int PLANNED_COUNT = 16;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void noPromiseIsBroken(long seed) throws IOException, InterruptedException {
        SoakResult result =
                new SoakRun(
                                FaultScene.ALL,
                                seed,
                                Path.of("target", "soak", "test-" + seed),
                                FAULTS,
                                COUNT)
                        .play();
        assertEquals(List.of(), result.broken(), result.report());
        assertTrue(result.answered() > 0, result.report());
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void noRequestIsLostBesidePlannedWorkAndPauses(long seed)
            throws IOException, InterruptedException {
        Path directory = Path.of("target", "soak", "planned-" + seed);
        SoakResult result =
                new SoakRun(FaultScene.PLANNED, seed, directory, PLANNED, PLANNED_COUNT).play();
        assertEquals(List.of(), result.broken(), result.report());
        assertTrue(result.answered() > 0, result.report());
    }
}
