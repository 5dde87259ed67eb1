package org.amaranthpick.core.layers;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.placement.Lease;
import org.amaranthpick.core.placement.LeaseManager;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.time.Scheduler;

/**
 * Keeps all layers of all models placed on engines while this daemon holds the lease: runs the
 * planner, sends its orders, and regards an order as done when the register shows the layers.
 * Confined to one thread.
 */
public final class LayerPlacementController {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Time beyond the expected load after which an order without effect is sent again. */
    private static final Duration ORDER_TIMEOUT_SLACK = Duration.ofSeconds(4);

    /** Wait before the next order to an engine that refused one. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofSeconds(2);

    private final Supplier<Optional<GatewayConfiguration>> mConfiguration;
    private final UpstreamRegister mRegister;
    private final UpstreamHealth mHealth;
    private final EngineControl mControl;
    private final LeaseManager mLease;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final Map<String, PendingOrder> mPending = new HashMap<>();
    private final Map<String, RepairDelay> mRepairDelays = new HashMap<>();
    private final Map<String, ReducedDomains> mReducedDomains = new HashMap<>();
    private final Map<String, KnownOrderCount> mOrderCounts = new HashMap<>();
    private final MissingLayersLog mMissingLayers = new MissingLayersLog();

    /** Last known number of orders that an engine has begun since its start. */
    private record KnownOrderCount(long startedAtMs, long ordersBegun) {}

    /** Order in progress; if it has no layers, a wait after a refused order. */
    private record PendingOrder(
            Optional<LayerRange> layers, LoadPurpose purpose, long startedAtMs, Times times) {}

    /** Predicted end of the load, and time from which the engine may be ordered again. */
    private record Times(long loadedNs, long untilNs) {}

    /**
     * Creates a controller without pending orders.
     *
     * @param configuration latest configuration, empty before the first
     * @param register registered engines
     * @param health health of the engines as seen in traffic
     * @param control sends the orders
     * @param lease lease under which orders are sent
     * @param scheduler clocks and timers
     * @param executor runs all callbacks, one at a time
     */
    public LayerPlacementController(
            Supplier<Optional<GatewayConfiguration>> configuration,
            UpstreamRegister register,
            UpstreamHealth health,
            EngineControl control,
            LeaseManager lease,
            Scheduler scheduler,
            Executor executor) {
        mConfiguration = configuration;
        mRegister = register;
        mHealth = health;
        mControl = control;
        mLease = lease;
        mScheduler = scheduler;
        mExecutor = executor;
    }

    /** Runs the planner once and sends its orders, if the lease is held. */
    public void step() {
        Optional<Lease> lease = mLease.held();
        if (lease.isEmpty() || mConfiguration.get().isEmpty()) {
            mPending.clear();
            mRepairDelays.clear();
            mReducedDomains.clear();
            mMissingLayers.clear();
            return;
        }
        removeFinishedOrders();
        for (GatewayService service : mConfiguration.get().get().services().values()) {
            service.model().ifPresent(model -> plan(service.name(), model, lease.get()));
        }
    }

    private void removeFinishedOrders() {
        long nowNs = mScheduler.monotonicNs();
        mPending.entrySet()
                .removeIf(
                        e -> {
                            Optional<UpstreamEntry> entry = mRegister.findById(e.getKey());
                            PendingOrder pending = e.getValue();
                            return entry.isEmpty()
                                    || nowNs >= pending.times().untilNs()
                                    || entry.get().startedAtMs() != pending.startedAtMs()
                                    || (pending.layers().isPresent()
                                            && entry.get().layers().equals(pending.layers()));
                        });
    }

    private void plan(String service, EngineModel model, Lease lease) {
        long nowNs = mScheduler.monotonicNs();
        List<EngineLayerState> engines = new ArrayList<>();
        for (UpstreamEntry entry : mRegister.findByService(service)) {
            CardKind card = entry.card().map(model.cards()::get).orElse(null);
            if (entry.leaving() || card == null || mHealth.excludedForFailure(entry.id(), nowNs)) {
                continue;
            }
            PendingOrder pending = mPending.get(entry.id());
            Optional<LayerRange> layers =
                    pending != null && pending.layers().isPresent()
                            ? pending.layers()
                            : entry.layers();
            engines.add(
                    new EngineLayerState(
                            entry.id(), entry.domain(), card, layers, pending == null));
        }
        LayerPlanner planner = new LayerPlanner(model);
        RepairDelay delay = mRepairDelays.computeIfAbsent(service, s -> new RepairDelay());
        delay.onMembers(mRegister.findByService(service), nowNs);
        // An engine that is tried again after a failure may still be lost.
        List<EngineLayerState> answering =
                engines.stream().filter(e -> !mHealth.failedSinceSuccess(e.id())).toList();
        Set<String> reduced =
                mReducedDomains
                        .computeIfAbsent(service, s -> new ReducedDomains())
                        .find(engines, planner, nowNs);
        for (List<EngineLayerState> group :
                planner.groupByDomain(withoutDomains(answering, reduced))) {
            delay.onHolders(group, planner.countHolders(group), nowNs);
        }
        List<LayerOrder> planned =
                planner.plan(
                        withoutDomains(engines, reduced),
                        domain -> delay.allowsRepair(domain, nowNs));
        boolean nothingHeld =
                mRegister.findByService(service).stream().allMatch(e -> e.layers().isEmpty());
        List<LayerOrder> orders =
                nothingHeld
                        ? planned
                        : LoadSchedule.select(planned, loadsInProgress(engines, nowNs), model);
        int loads = loadsInProgress(engines, nowNs).size();
        mMissingLayers.onPlanned(
                service,
                LayerGaps.find(planner.countFleetHolders(answering)),
                loads,
                orders.size(),
                nowNs);
        int parallelLoads = nothingHeld ? 1 : loads + orders.size();
        for (LayerOrder order : orders) {
            mRegister
                    .findById(order.engineId())
                    .ifPresent(e -> issue(e, order, model, parallelLoads, lease));
        }
    }

    private static List<EngineLayerState> withoutDomains(
            List<EngineLayerState> engines, Set<String> domains) {
        return engines.stream().filter(engine -> !domains.contains(engine.domain())).toList();
    }

    private List<LoadPurpose> loadsInProgress(List<EngineLayerState> engines, long nowNs) {
        List<LoadPurpose> purposes = new ArrayList<>();
        for (EngineLayerState engine : engines) {
            PendingOrder pending = mPending.get(engine.id());
            if (pending != null
                    && pending.layers().isPresent()
                    && nowNs < pending.times().loadedNs()) {
                purposes.add(pending.purpose());
            }
        }
        return purposes;
    }

    private void issue(
            UpstreamEntry engine,
            LayerOrder order,
            EngineModel model,
            int parallelLoads,
            Lease lease) {
        long loadedNs =
                mScheduler.monotonicNs()
                        + model.loadTime(order.layers().size(), parallelLoads).toNanos();
        mPending.put(
                engine.id(),
                new PendingOrder(
                        Optional.of(order.layers()),
                        order.purpose(),
                        engine.startedAtMs(),
                        new Times(loadedNs, loadedNs + ORDER_TIMEOUT_SLACK.toNanos())));
        Optional<Long> ordersBegun = knownOrdersBegun(engine);
        if (ordersBegun.isEmpty()) {
            queryOrdersBegun(engine, () -> send(engine, order, lease));
        } else {
            send(engine, order, lease);
        }
    }

    private void send(UpstreamEntry engine, LayerOrder order, Lease lease) {
        long ordersBegun = knownOrdersBegun(engine).orElse(0L);
        if (mLease.held().filter(held -> held.fence() == lease.fence()).isEmpty()) {
            return;
        }
        sLogger.atInfo().log(
                "order: engine=%s address=%s layers=%s held=%s fence=%d begun=%d reason=\"%s\"",
                engine.id(),
                engine.address(),
                order.layers(),
                engine.layers().map(LayerRange::toString).orElse("none"),
                lease.fence(),
                ordersBegun,
                order.reason());
        mControl.sendOrder(engine, order.layers(), lease.fence(), ordersBegun)
                .thenAccept(
                        outcome ->
                                mExecutor.execute(() -> onOutcome(engine, ordersBegun, outcome)));
    }

    /** Returns the last known count, or 0 for an engine without layers; empty if unknown. */
    private Optional<Long> knownOrdersBegun(UpstreamEntry engine) {
        KnownOrderCount known = mOrderCounts.get(engine.id());
        if (known != null && known.startedAtMs() == engine.startedAtMs()) {
            return Optional.of(known.ordersBegun());
        }
        return engine.layers().isEmpty() ? Optional.of(0L) : Optional.empty();
    }

    private void onOutcome(UpstreamEntry engine, long ordersBegun, OrderOutcome outcome) {
        if (outcome instanceof OrderOutcome.Accepted) {
            mOrderCounts.put(
                    engine.id(), new KnownOrderCount(engine.startedAtMs(), ordersBegun + 1));
            return;
        }
        sLogger.atWarning().log("order: engine=%s outcome=%s", engine.id(), outcome);
        if (outcome instanceof OrderOutcome.Fenced) {
            mLease.abandon();
            mPending.clear();
        } else if (!(outcome instanceof OrderOutcome.Unknown)) {
            long untilNs = mScheduler.monotonicNs() + REFUSAL_BACKOFF.toNanos();
            mPending.put(
                    engine.id(),
                    new PendingOrder(
                            Optional.empty(),
                            LoadPurpose.COPY,
                            engine.startedAtMs(),
                            new Times(untilNs, untilNs)));
            queryOrdersBegun(engine, () -> {});
        }
    }

    /** Queries the number of orders that an engine has begun. */
    private void queryOrdersBegun(UpstreamEntry engine, Runnable then) {
        mControl.fetchReport(engine)
                .thenAccept(
                        report -> {
                            if (report instanceof EngineReport.Present present) {
                                KnownOrderCount count =
                                        new KnownOrderCount(
                                                engine.startedAtMs(), present.ordersBegun());
                                mExecutor.execute(
                                        () -> {
                                            mOrderCounts.put(engine.id(), count);
                                            then.run();
                                        });
                            }
                        });
    }
}
