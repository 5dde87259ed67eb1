package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RepairDelayTest {
    private static final long STEP_NS = Duration.ofMillis(250).toNanos();

    private final LayerPlanner mPlanner = new LayerPlanner(LayerFixture.model());
    private final RepairDelay mDelay = new RepairDelay();
    private long mNowNs;

    private void runUntilMs(long untilMs, List<EngineLayerState> engines) {
        while (mNowNs < Duration.ofMillis(untilMs).toNanos()) {
            mNowNs += STEP_NS;
            mDelay.onMembers(LayerFixture.toEntries(engines), mNowNs);
            mDelay.onHolders(engines, mPlanner.countHolders(engines), mNowNs);
        }
    }

    /**
     * The engines with layers 16 to 32 are lost at 10 s. From then on an engine joins the domain
     * each second, empty or with layers of its own.
     */
    @ParameterizedTest
    @CsvSource({"false,12750,false", "false,13250,true", "true,13250,false", "true,18000,false"})
    void aLossIsRepairedWhileEnginesComeAndGoUnlessTheyReturnWithLayers(
            boolean withLayers, long nowMs, boolean expected) {
        List<EngineLayerState> engines = new ArrayList<>();
        for (int from = 0; from < 80; from += 16) {
            engines = withEngine(engines, from, true);
        }
        runUntilMs(10_000, engines);
        engines.removeIf(engine -> engine.layers().get().from() == 16);
        for (long ms = 10_250; ms <= nowMs; ms += 1000) {
            engines = withEngine(engines, 32, withLayers);
            runUntilMs(Math.min(nowMs, ms + 750), engines);
        }
        assertEquals(expected, mDelay.allowsRepair("a", mNowNs));
        assertFalse(mDelay.allowsRepair("b", mNowNs));
    }

    private static List<EngineLayerState> withEngine(
            List<EngineLayerState> engines, int from, boolean withLayers) {
        List<EngineLayerState> joined = new ArrayList<>(engines);
        LayerFixture.addEngines(joined, "a", "mid", engines.size() + 1);
        EngineLayerState added = joined.get(joined.size() - 1);
        List<LayerOrder> orders =
                List.of(
                        new LayerOrder(
                                added.id(), new LayerRange(from, from + 16), LoadPurpose.COPY, ""));
        List<EngineLayerState> result = new ArrayList<>(engines);
        result.addAll(
                withLayers ? LayerFixture.applyOrders(List.of(added), orders) : List.of(added));
        return result;
    }
}
