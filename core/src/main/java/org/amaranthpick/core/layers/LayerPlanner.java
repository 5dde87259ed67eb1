package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Decides which layers the engines hold. Each failure domain with enough memory holds complete
 * copies of its own, placed on the fastest engines first; the remaining engines replicate the
 * layers with the fewest holders. Lost layers go to empty engines, then to engines whose layers are
 * all held elsewhere too, then to engines with adjacent layers and free memory. Never orders more
 * layers than a card's memory holds.
 */
public final class LayerPlanner {
    /** Minimum ratio of a domain's memory to the model's weights for copies of its own. */
    private static final double MIN_OWN_COPY_RATIO = 1.2;

    /** Copies of the layers to plan for; above 1 so that a lost engine can be replaced. */
    private static final double PLANNED_COPIES = 1.15;

    /** Fraction of an engine's slots for which KV cache memory is reserved. */
    private static final double PLANNED_SLOT_FRACTION = 0.5;

    /** Factor by which the reserved KV cache is reduced until the layers fit. */
    private static final double KV_TOKENS_STEP = 0.85;

    /**
     * Maximum fractions of a card's memory for weights when an engine adds adjacent layers, tried
     * in order. The higher one comes last, since a chain with little KV cache preempts its streams.
     */
    private static final double[] MAX_WEIGHT_FRACTIONS = {0.75, 0.9};

    private static final String MISSING = "missing layers";

    private final EngineModel mModel;

    /**
     * Creates a planner.
     *
     * @param model parameters of the model
     */
    public LayerPlanner(EngineModel model) {
        mModel = model;
    }

    /**
     * Computes the orders that move the held layers towards the planned placement. An engine whose
     * layers are out of the model's range is not one of the model, and is left out.
     *
     * @param engines engines in service
     * @param stable whether engines of a failure domain that hold layers may get other ones; where
     *     they may not, only empty engines get orders, since lost engines may be back soon
     * @return orders to send now, at most one for each engine
     */
    public List<LayerOrder> plan(List<EngineLayerState> engines, Predicate<String> stable) {
        List<LayerOrder> orders = new ArrayList<>();
        List<List<EngineLayerState>> groups = groupByDomain(engines);
        groups.forEach(group -> planGroup(group, stable, orders));
        int[] holders = countFleetHolders(engines);
        return orders.stream().map(order -> withFleetPurpose(order, holders)).toList();
    }

    private boolean isOfModel(EngineLayerState engine) {
        return engine.layers().map(range -> range.to() <= mModel.layers()).orElse(true);
    }

    private static LayerOrder withFleetPurpose(LayerOrder order, int[] holders) {
        boolean missing =
                order.purpose() == LoadPurpose.MISSING_IN_DOMAIN
                        && IntStream.range(order.layers().from(), order.layers().to())
                                .anyMatch(layer -> holders[layer] == 0);
        return missing
                ? new LayerOrder(
                        order.engineId(),
                        order.layers(),
                        LoadPurpose.MISSING_EVERYWHERE,
                        order.reason())
                : order;
    }

    /**
     * Divides the engines of the model into those whose failure domains hold copies together.
     *
     * @param engines engines in service
     * @return a group for each domain with enough memory, and one of the other domains
     */
    List<List<EngineLayerState>> groupByDomain(List<EngineLayerState> engines) {
        Map<String, List<EngineLayerState>> byDomain = byDomain(engines);
        List<List<EngineLayerState>> groups = new ArrayList<>();
        List<EngineLayerState> pooled = new ArrayList<>();
        for (List<EngineLayerState> domain : byDomain.values()) {
            if (hasMemoryForCopy(domain)) {
                groups.add(domain);
            } else {
                pooled.addAll(domain);
            }
        }
        if (!pooled.isEmpty()) {
            groups.add(pooled);
        }
        return groups;
    }

    /**
     * Finds the failure domains with enough memory for copies of their own.
     *
     * @param engines engines in service
     * @return names of the domains
     */
    Set<String> domainsWithOwnCopies(List<EngineLayerState> engines) {
        Map<String, List<EngineLayerState>> byDomain = byDomain(engines);
        byDomain.values().removeIf(domain -> !hasMemoryForCopy(domain));
        return byDomain.keySet();
    }

    private Map<String, List<EngineLayerState>> byDomain(List<EngineLayerState> engines) {
        Map<String, List<EngineLayerState>> byDomain = new LinkedHashMap<>();
        for (EngineLayerState engine : engines.stream().filter(this::isOfModel).toList()) {
            byDomain.computeIfAbsent(engine.domain(), d -> new ArrayList<>()).add(engine);
        }
        return byDomain;
    }

    private boolean hasMemoryForCopy(List<EngineLayerState> domain) {
        return memoryMb(domain) >= MIN_OWN_COPY_RATIO * mModel.layers() * mModel.layerMb();
    }

    private static double memoryMb(List<EngineLayerState> engines) {
        return engines.stream().mapToDouble(e -> e.card().memoryMb()).sum();
    }

    private void planGroup(
            List<EngineLayerState> group, Predicate<String> stable, List<LayerOrder> orders) {
        double reservedTokens = plannedKvTokens(group);
        int[] holders = countHolders(group);
        fillEmptyEngines(group, holders, orders, reservedTokens);
        if (group.stream().map(EngineLayerState::domain).allMatch(stable)) {
            fillGaps(group, holders, orders, reservedTokens);
        }
        growRanges(group, holders, orders, reservedTokens);
    }

    private void fillEmptyEngines(
            List<EngineLayerState> group,
            int[] holders,
            List<LayerOrder> orders,
            double reservedTokens) {
        List<EngineLayerState> empty = new ArrayList<>();
        for (EngineLayerState engine : group) {
            if (engine.acceptsOrders()
                    && engine.layers().isEmpty()
                    && layerCapacity(engine, reservedTokens) > 0) {
                empty.add(engine);
            }
        }
        empty.sort(
                Comparator.comparingDouble((EngineLayerState e) -> layerMs(e, reservedTokens))
                        .thenComparing(EngineLayerState::id));
        boolean firstPlan = Arrays.stream(holders).allMatch(count -> count == 0);
        if (!firstPlan) {
            fillMissing(empty, holders, orders, reservedTokens);
        }
        int copies = 0;
        for (EngineLayerState engine : empty) {
            Optional<Integer> gap = firstLayerBelow(holders, copies + 1);
            while (gap.isEmpty()) {
                copies++;
                gap = firstLayerBelow(holders, copies + 1);
            }
            String reason = copies == 0 ? MISSING : "copy " + (copies + 1);
            int capacity = layerCapacity(engine, reservedTokens);
            orders.add(order(engine, gap.get(), capacity, holders, reason));
        }
    }

    /** Orders missing layers, and removes the engines that get them. */
    private void fillMissing(
            List<EngineLayerState> empty,
            int[] holders,
            List<LayerOrder> orders,
            double reservedTokens) {
        List<EngineLayerState> byCapacity = new ArrayList<>(empty);
        byCapacity.sort(
                Comparator.comparingInt((EngineLayerState e) -> layerCapacity(e, reservedTokens))
                        .reversed());
        int[] capacities =
                byCapacity.stream().mapToInt(e -> layerCapacity(e, reservedTokens)).toArray();
        List<LayerRange> ranges = new MissingLayerSplit(mModel).divide(capacities, holders);
        for (int i = 0; i < ranges.size(); i++) {
            EngineLayerState engine = byCapacity.get(i);
            LayerRange range = ranges.get(i);
            orders.add(order(engine, range.from(), range.size(), holders, MISSING));
            empty.remove(engine);
        }
    }

    private void growRanges(
            List<EngineLayerState> group,
            int[] holders,
            List<LayerOrder> orders,
            double reservedTokens) {
        if (firstLayerBelow(holders, 1).isPresent()) {
            return;
        }
        Set<String> ordered = new HashSet<>();
        orders.forEach(order -> ordered.add(order.engineId()));
        for (EngineLayerState engine : group) {
            int capacity = layerCapacity(engine, reservedTokens);
            if (!engine.acceptsOrders()
                    || ordered.contains(engine.id())
                    || engine.layers()
                            .filter(range -> RangeGrowth.isPartial(range, capacity, holders.length))
                            .isEmpty()) {
                continue;
            }
            LayerRange current = engine.layers().get();
            LayerRange grown = RangeGrowth.extend(current, capacity, holders);
            for (int layer = grown.from(); layer < grown.to(); layer++) {
                holders[layer] += layer < current.from() || layer >= current.to() ? 1 : 0;
            }
            orders.add(
                    new LayerOrder(
                            engine.id(), grown, LoadPurpose.COPY, "copies beside held layers"));
        }
    }

    private LayerOrder order(
            EngineLayerState engine, int from, int size, int[] holders, String reason) {
        int to = Math.min(from + size, mModel.layers());
        LoadPurpose purpose = LoadPurpose.COPY;
        for (int layer = from; layer < to; layer++) {
            if (holders[layer] == 0) {
                purpose = LoadPurpose.MISSING_IN_DOMAIN;
            }
            holders[layer]++;
        }
        return new LayerOrder(engine.id(), new LayerRange(from, to), purpose, reason);
    }

    /** Returns the token latency of one layer on an engine, with its share of the transfer. */
    private double layerMs(EngineLayerState engine, double reservedTokens) {
        double stepMs = mModel.stepMs() * engine.card().stepFactor() / mModel.layers();
        return stepMs
                + ChainFinder.STAGE_OVERHEAD_MS
                        / Math.max(1, layerCapacity(engine, reservedTokens));
    }

    /** Orders layers that no engine holds, once no empty engine is left. */
    private void fillGaps(
            List<EngineLayerState> group,
            int[] holders,
            List<LayerOrder> orders,
            double reservedTokens) {
        Map<String, Boolean> ordered = new HashMap<>();
        orders.forEach(order -> ordered.put(order.engineId(), true));
        Optional<Integer> gap = firstLayerBelow(holders, 1);
        while (gap.isPresent()) {
            Optional<LayerOrder> order =
                    reassignRedundantEngine(group, ordered, holders, gap.get(), reservedTokens);
            for (double maxWeightFraction : MAX_WEIGHT_FRACTIONS) {
                if (order.isEmpty()) {
                    order = extendNeighbour(group, ordered, holders, gap.get(), maxWeightFraction);
                }
            }
            if (order.isEmpty()) {
                return;
            }
            orders.add(order.get());
            ordered.put(order.get().engineId(), true);
            gap = firstLayerBelow(holders, 1);
        }
    }

    private Optional<LayerOrder> reassignRedundantEngine(
            List<EngineLayerState> group,
            Map<String, Boolean> ordered,
            int[] holders,
            int gap,
            double reservedTokens) {
        for (EngineLayerState engine : group) {
            if (!canBeOrdered(engine, ordered) || !isRedundant(engine.layers().get(), holders)) {
                continue;
            }
            LayerRange current = engine.layers().get();
            for (int layer = current.from(); layer < current.to(); layer++) {
                holders[layer]--;
            }
            int size = Math.max(layerCapacity(engine, reservedTokens), current.size());
            return Optional.of(
                    order(
                            engine,
                            gap,
                            size,
                            holders,
                            "missing layers, moved from a redundant copy"));
        }
        return Optional.empty();
    }

    private Optional<LayerOrder> extendNeighbour(
            List<EngineLayerState> group,
            Map<String, Boolean> ordered,
            int[] holders,
            int gap,
            double maxWeightFraction) {
        int gapEnd = gap;
        while (gapEnd < mModel.layers() && holders[gapEnd] == 0) {
            gapEnd++;
        }
        for (EngineLayerState engine : group) {
            if (!canBeOrdered(engine, ordered)) {
                continue;
            }
            LayerRange current = engine.layers().get();
            int maxLayers = (int) (engine.card().memoryMb() * maxWeightFraction / mModel.layerMb());
            int added = Math.min(maxLayers - current.size(), gapEnd - gap);
            if (added <= 0) {
                continue;
            }
            if (current.to() == gap) {
                return Optional.of(
                        extensionOrder(engine, current.from(), gap + added, holders, gap, added));
            }
            if (current.from() == gapEnd) {
                return Optional.of(
                        extensionOrder(
                                engine,
                                gapEnd - added,
                                current.to(),
                                holders,
                                gapEnd - added,
                                added));
            }
        }
        return Optional.empty();
    }

    private static LayerOrder extensionOrder(
            EngineLayerState engine, int from, int to, int[] holders, int firstAdded, int count) {
        for (int layer = firstAdded; layer < firstAdded + count; layer++) {
            holders[layer]++;
        }
        return new LayerOrder(
                engine.id(),
                new LayerRange(from, to),
                LoadPurpose.MISSING_IN_DOMAIN,
                "missing layers, added to adjacent ones");
    }

    private static boolean canBeOrdered(EngineLayerState engine, Map<String, Boolean> ordered) {
        return engine.acceptsOrders()
                && engine.layers().isPresent()
                && !ordered.containsKey(engine.id());
    }

    private static boolean isRedundant(LayerRange layers, int[] holders) {
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            if (holders[layer] < 2) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts the engines that hold each layer.
     *
     * @param group engines
     * @return number of engines by layer
     */
    int[] countHolders(List<EngineLayerState> group) {
        int[] holders = new int[mModel.layers()];
        for (EngineLayerState engine : group) {
            engine.layers()
                    .ifPresent(
                            range -> {
                                for (int layer = range.from(); layer < range.to(); layer++) {
                                    holders[layer]++;
                                }
                            });
        }
        return holders;
    }

    /**
     * Counts the engines of the model that hold each layer.
     *
     * @param engines engines in service, of any model
     * @return number of engines by layer
     */
    int[] countFleetHolders(Collection<EngineLayerState> engines) {
        return countHolders(engines.stream().filter(this::isOfModel).toList());
    }

    private static Optional<Integer> firstLayerBelow(int[] holders, int count) {
        for (int layer = 0; layer < holders.length; layer++) {
            if (holders[layer] < count) {
                return Optional.of(layer);
            }
        }
        return Optional.empty();
    }

    /** Returns the KV cache to reserve on each engine, in tokens, so that the layers fit. */
    private double plannedKvTokens(List<EngineLayerState> group) {
        double usualTokens = mModel.usualPromptTokens() + mModel.usualAnswerTokens();
        double tokens = Math.max(1, mModel.slots() * usualTokens * PLANNED_SLOT_FRACTION);
        while (tokens > 1 && totalLayers(group, tokens) < PLANNED_COPIES * mModel.layers()) {
            tokens *= KV_TOKENS_STEP;
        }
        return tokens;
    }

    private int totalLayers(List<EngineLayerState> group, double tokens) {
        return group.stream().mapToInt(engine -> layerCapacity(engine, tokens)).sum();
    }

    private int layerCapacity(EngineLayerState engine, double tokens) {
        double mbPerLayer = mModel.layerMb() + mModel.kvMbPerLayer(tokens);
        return Math.min(mModel.layers(), (int) (engine.card().memoryMb() / mbPerLayer));
    }
}
