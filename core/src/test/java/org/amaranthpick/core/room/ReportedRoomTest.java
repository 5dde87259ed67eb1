package org.amaranthpick.core.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.junit.jupiter.api.Test;

class ReportedRoomTest {
    private static final long MS = 1_000_000L;
    private static final long START_NS = 10_000 * MS;

    private final ReportedRoom mRoom = new ReportedRoom();
    private final EngineChain mChain =
            new EngineChain(List.of(stage("a", 0, 40), stage("b", 40, 80)), 10, 1000);

    private static ChainStage stage(String id, int from, int to) {
        LayerRange layers = new LayerRange(from, to);
        UpstreamEntry engine =
                new UpstreamEntry(
                        id,
                        "llm",
                        id + ":1",
                        "home",
                        false,
                        10,
                        Optional.empty(),
                        Optional.of(layers),
                        1,
                        1);
        return new ChainStage(engine, layers, 40_000);
    }

    @Test
    void aChainIsAsFullAsItsFullestEngine() {
        mRoom.onLoad(new EngineLoad("a", 0.3, START_NS));
        mRoom.onLoad(new EngineLoad("b", 0.8, START_NS));
        assertEquals(OptionalDouble.of(0.8), mRoom.fill(mChain, START_NS));
    }

    @Test
    void aReportThatIsTooOldSaysNothing() {
        mRoom.onLoad(new EngineLoad("a", 0.9, START_NS));
        long lateNs = START_NS + ReportedRoom.MAX_AGE.toNanos() + MS;
        assertTrue(mRoom.fill(mChain, lateNs).isEmpty());
    }

    /** News takes several paths, so that an earlier report may arrive after a later one. */
    @Test
    void anEarlierReportDoesNotReplaceALaterOne() {
        mRoom.onLoad(new EngineLoad("a", 0.9, START_NS));
        mRoom.onLoad(new EngineLoad("a", 0.1, START_NS - MS));
        assertEquals(OptionalDouble.of(0.9), mRoom.fill(mChain, START_NS));
    }

    /** A burst at one daemon must not go to one chain until the next report. */
    @Test
    void whatThisDaemonSentSinceTheReportCounts() {
        mRoom.onSent(mChain, 100, START_NS - 300 * MS);
        mRoom.onSent(mChain, 100, START_NS - 100 * MS);
        mRoom.onSent(mChain, 100, START_NS + MS);
        mRoom.onLoad(new EngineLoad("a", 0.5, START_NS));
        assertEquals(0.5 + 2 * 0.1, mRoom.fill(mChain, START_NS + MS).orElseThrow(), 1e-9);
    }
}
