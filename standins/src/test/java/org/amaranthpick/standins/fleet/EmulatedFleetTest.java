package org.amaranthpick.standins.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EmulatedFleetTest {
    private static final int LAYERS = 8;

    /** A step takes 1 ms, a token read 0.1 ms; memory beside the layers holds 200 tokens. */
    private static final EngineModel MODEL =
            new EngineModel(
                    LAYERS,
                    100,
                    1_000_000,
                    2,
                    1,
                    0,
                    0,
                    10_000,
                    100,
                    50,
                    1,
                    OptionalInt.empty(),
                    1,
                    1000,
                    1,
                    Map.of("card", new CardKind(1000, 1, 1)));

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final EmulatedFleet mFleet =
            new EmulatedFleet(
                    new FleetShape(
                            "llm",
                            MODEL,
                            List.of(new EngineGroup("z", "card", 1)),
                            List.of(),
                            500,
                            200,
                            20_000,
                            0.25),
                    mScheduler);
    private EngineChain mChain;

    @BeforeEach
    void hold() {
        LayerRange all = new LayerRange(0, LAYERS);
        mFleet.hold("e0", all);
        UpstreamEntry engine = mFleet.registered().get(0);
        mChain = new EngineChain(List.of(new ChainStage(engine, all, 200)), 1, 200);
    }

    /** Notes when events came and how the stream ended. */
    private final class Caller implements EmulatedStream.Listener {
        private final List<Long> mEventsMs = new ArrayList<>();
        private String mEnd = "";

        @Override
        public void onEvent(int tokens) {
            mEventsMs.add(mScheduler.monotonicNs() / 1_000_000);
        }

        @Override
        public void onComplete() {
            mEnd = "complete";
        }

        @Override
        public void onRefused() {
            mEnd = "refused";
        }

        @Override
        public void onBroken() {
            mEnd = "broken";
        }
    }

    @Test
    void aStreamTakesTheTimeOfItsPromptAndSteps() {
        Caller caller = new Caller();
        mFleet.send(mChain, 100, 5, caller);
        mScheduler.advance(Duration.ofMillis(100));
        assertEquals("complete", caller.mEnd);
        assertEquals(List.of(11L, 12L, 13L, 14L, 15L), caller.mEventsMs);
    }

    @Test
    void theNewestIsPutBackWhenMemoryRunsOutAndBothFinish() {
        Caller older = new Caller();
        Caller newer = new Caller();
        mFleet.send(mChain, 90, 50, older);
        mFleet.send(mChain, 90, 50, newer);
        mScheduler.advance(Duration.ofSeconds(1));
        assertEquals(1, mFleet.preemptions());
        assertEquals("complete", older.mEnd);
        assertEquals("complete", newer.mEnd);
        assertEquals(50, newer.mEventsMs.size());
    }

    @Test
    void aFullQueueRefuses() {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            callers.add(new Caller());
            mFleet.send(mChain, 90, 50, callers.get(i));
        }
        mScheduler.advance(Duration.ofMillis(1));
        assertEquals("", callers.get(2).mEnd);
        assertEquals("refused", callers.get(3).mEnd);
    }

    @Test
    void aDeadEngineShowsLateAndBreaksItsStreamsLater() {
        Caller caller = new Caller();
        EmulatedStream stream = mFleet.send(mChain, 100, 50, caller);
        mScheduler.advance(Duration.ofMillis(20));
        mFleet.kill("e0");
        mScheduler.advance(Duration.ofMillis(150));
        assertTrue(mFleet.stalledAt(stream).isEmpty());
        mScheduler.advance(Duration.ofMillis(100));
        assertEquals("e0", mFleet.stalledAt(stream).orElseThrow());
        mScheduler.advance(Duration.ofSeconds(3));
        assertEquals("broken", caller.mEnd);
        assertFalse(mFleet.registered().isEmpty());
        mScheduler.advance(Duration.ofSeconds(1));
        assertTrue(mFleet.registered().isEmpty());
    }
}
