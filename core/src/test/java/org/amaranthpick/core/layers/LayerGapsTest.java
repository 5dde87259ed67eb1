package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LayerGapsTest {
    @ParameterizedTest
    @CsvSource({
        "'', 0-80",
        "0-80, none",
        "0-40 40-80, none",
        "0-30 40-80, 30-40",
        "7-24 24-35 35-42, '0-7,42-80'",
        "0-10 5-20 60-79, '20-60,79-80'",
        "0-40 70-81, 40-80"
    })
    void gapsAreTheRangesThatNoEngineHolds(String held, String expected) {
        List<EngineLayerState> states = new ArrayList<>();
        LayerFixture.addEngines(
                states, "a", "mid", held.isEmpty() ? 0 : held.split(" ", -1).length);
        List<UpstreamEntry> engines = LayerFixture.toEntries(states);
        for (int i = 0; i < engines.size(); i++) {
            String[] bounds = held.split(" ", -1)[i].split("-", -1);
            LayerRange range =
                    new LayerRange(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1]));
            engines.set(i, engines.get(i).withLayers(Optional.of(range)));
        }
        assertEquals(expected, LayerGaps.describe(LayerGaps.find(engines, 80)));
    }
}
