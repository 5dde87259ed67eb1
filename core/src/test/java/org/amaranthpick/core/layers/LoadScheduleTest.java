package org.amaranthpick.core.layers;

import static org.amaranthpick.core.layers.LoadPurpose.COPY;
import static org.amaranthpick.core.layers.LoadPurpose.MISSING_EVERYWHERE;
import static org.amaranthpick.core.layers.LoadPurpose.MISSING_IN_DOMAIN;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.amaranthpick.core.manifest.LayerRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The weight store of the fixture serves three loads at full speed. */
class LoadScheduleTest {
    private static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of(
                        "copies wait for missing layers",
                        List.of(COPY, COPY, MISSING_EVERYWHERE, MISSING_IN_DOMAIN, COPY),
                        List.of(),
                        List.of(MISSING_EVERYWHERE, MISSING_IN_DOMAIN, COPY)),
                Arguments.of(
                        "missing layers don't wait for copies",
                        List.of(MISSING_IN_DOMAIN, MISSING_IN_DOMAIN, COPY),
                        List.of(COPY, COPY, COPY),
                        List.of(MISSING_IN_DOMAIN, MISSING_IN_DOMAIN)),
                Arguments.of(
                        "a domain that others replace waits for layers that no engine holds",
                        List.of(MISSING_EVERYWHERE, MISSING_IN_DOMAIN),
                        List.of(MISSING_EVERYWHERE, MISSING_EVERYWHERE),
                        List.of(MISSING_EVERYWHERE)),
                Arguments.of(
                        "copies fill what the weight store has left",
                        List.of(COPY, COPY, COPY),
                        List.of(COPY),
                        List.of(COPY, COPY)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void ordersByUrgencyWithinTheBandwidthOfTheWeightStore(
            String name,
            List<LoadPurpose> planned,
            List<LoadPurpose> inProgress,
            List<LoadPurpose> expected) {
        List<LayerOrder> orders = new ArrayList<>();
        for (LoadPurpose purpose : planned) {
            orders.add(new LayerOrder("e" + orders.size(), new LayerRange(0, 8), purpose, ""));
        }
        List<LayerOrder> selected = LoadSchedule.select(orders, inProgress, LayerFixture.model());
        assertEquals(expected, selected.stream().map(LayerOrder::purpose).toList());
    }
}
