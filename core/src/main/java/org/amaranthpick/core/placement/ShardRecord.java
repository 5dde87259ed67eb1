package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/**
 * Stored state of a control shard: the fencing number of its owner and the ordered targets.
 *
 * @param fence fencing number of the last owner
 * @param sequence number of its last order
 * @param targets ordered holdings of each engine, by its qualified name
 */
record ShardRecord(long fence, long sequence, Map<String, List<TargetRecord>> targets) {
    static final ShardRecord EMPTY = new ShardRecord(0, 0, Map.of());

    /**
     * One ordered holding.
     *
     * @param modelVersion qualified name of the model version
     * @param from first layer, inclusive
     * @param to end of the layers, exclusive
     * @param adapters qualified names of the adapters
     */
    record TargetRecord(String modelVersion, int from, int to, List<String> adapters) {}

    static ShardRecord of(
            long fence, long sequence, Map<Identity, List<UpstreamSpec.Holding>> targets) {
        Map<String, List<TargetRecord>> records = new TreeMap<>();
        targets.forEach(
                (engine, holdings) ->
                        records.put(
                                engine.qualifiedName(),
                                holdings.stream().map(ShardRecord::toRecord).toList()));
        return new ShardRecord(fence, sequence, records);
    }

    Map<Identity, List<UpstreamSpec.Holding>> holdings() {
        Map<Identity, List<UpstreamSpec.Holding>> holdings = new HashMap<>();
        targets.forEach(
                (name, records) -> {
                    Identity engine = Identity.resolve("", ResourceKind.UPSTREAM, name);
                    List<UpstreamSpec.Holding> list = new ArrayList<>();
                    records.forEach(record -> list.add(toHolding(record)));
                    holdings.put(engine, list);
                });
        return holdings;
    }

    private static TargetRecord toRecord(UpstreamSpec.Holding holding) {
        return new TargetRecord(
                holding.modelVersion().qualifiedName(),
                holding.layers().from(),
                holding.layers().to(),
                holding.adapters().stream().map(Identity::qualifiedName).toList());
    }

    private static UpstreamSpec.Holding toHolding(TargetRecord record) {
        return new UpstreamSpec.Holding(
                Identity.resolve("", ResourceKind.MODEL_VERSION, record.modelVersion()),
                new LayerRange(record.from(), record.to()),
                record.adapters().stream()
                        .map(name -> Identity.resolve("", ResourceKind.ADAPTER, name))
                        .toList());
    }
}
