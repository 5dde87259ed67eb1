package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.layers.ChainFinder;
import org.amaranthpick.core.layers.ChainLoadBalancer;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.layers.TokenLatencyEstimator;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.room.RoomView;

/**
 * Chooses the least loaded target. For plain services, this is the upstream with the fewest
 * requests of this daemon in progress, with a preference for the local failure domain. For models,
 * it is the least loaded of the chains that fit into the memory of all engines together. If none is
 * left, any chain over engines at which the request has not failed is used, even over excluded
 * engines, since the request would be refused otherwise. No request goes to an upstream that takes
 * none now by what it says itself. Designed for hundreds of engines that fail and come back all the
 * time: chains that are still intact serve on while others are searched at bounded intervals.
 * Confined to one thread.
 */
public final class LeastLoadedTargetPolicy implements TargetPolicy {
    /**
     * Time for which chains are reused while neither the register nor the health changes. Engines
     * whose exclusion has ended are used again from the next search on.
     */
    private static final Duration CACHE_TIME_UNCHANGED = Duration.ofMillis(500);

    /** Time for which the chains that are still intact are reused after a change. */
    private static final Duration CACHE_TIME_CHANGED = Duration.ofMillis(200);

    /** Time for which chains are reused even if most of them are no longer intact. */
    private static final Duration CACHE_TIME_BROKEN = Duration.ofMillis(50);

    /** Part of the memory of all chains that the intact ones must hold to be reused for longer. */
    private static final double MIN_INTACT_FRACTION = 0.5;

    /** Requests added to the count of an upstream in another domain. */
    private static final double REMOTE_DOMAIN_PENALTY_REQUESTS = 0.5;

    private final UpstreamRegister mRegister;
    private final UpstreamHealth mHealth;
    private final UpstreamAdmission mAdmission;
    private final String mLocalDomain;
    private final RandomGenerator mRandom;
    private final TokenLatencyEstimator mLatency = new TokenLatencyEstimator();
    private final ChainLoadBalancer mLoadBalancer;
    private final Map<String, Integer> mPlainInProgress = new HashMap<>();
    private final Map<String, Integer> mModelInProgress = new HashMap<>();
    private final Map<String, CachedChains> mCachedChains = new RecentServices<>();
    private final Map<String, CapacityLossAdmission> mAdmissions = new RecentServices<>();
    private final ChainOutages mOutages = new ChainOutages();
    private final IntSupplier mDaemons;

    /**
     * Chains found at one version of the register and the health, and those of them that are intact
     * at a later one.
     *
     * @param complete whether no engine was excluded when they were found
     */
    private record CachedChains(
            EngineModel model,
            List<EngineChain> found,
            String foundVersion,
            long foundNs,
            boolean complete,
            List<EngineChain> intact,
            String checkedVersion) {
        CachedChains checked(List<EngineChain> nowIntact, String version) {
            return new CachedChains(
                    model, found, foundVersion, foundNs, complete, nowIntact, version);
        }

        boolean isFresh(long nowNs) {
            boolean unchanged = foundVersion.equals(checkedVersion);
            return !intact.isEmpty()
                    && ((unchanged && complete) || nowNs - foundNs < cacheTime().toNanos());
        }

        private Duration cacheTime() {
            if (foundVersion.equals(checkedVersion)) {
                return CACHE_TIME_UNCHANGED;
            }
            boolean mostIntact = memory(intact) >= MIN_INTACT_FRACTION * memory(found);
            return mostIntact ? CACHE_TIME_CHANGED : CACHE_TIME_BROKEN;
        }
    }

    /**
     * Creates a policy.
     *
     * @param register registered upstreams
     * @param health health of the upstreams as seen in traffic
     * @param admission whether upstreams may get requests, by what they say themselves
     * @param domain failure domain of this daemon
     * @param daemons returns the number of daemons
     * @param room how full the chains are
     * @param random source of the jitter
     */
    public LeastLoadedTargetPolicy(
            UpstreamRegister register,
            UpstreamHealth health,
            UpstreamAdmission admission,
            String domain,
            IntSupplier daemons,
            RoomView room,
            RandomGenerator random) {
        mRegister = register;
        mHealth = health;
        mAdmission = admission;
        mDaemons = daemons;
        mLocalDomain = domain;
        mRandom = random;
        mLoadBalancer = new ChainLoadBalancer(mLatency, room, domain, random);
    }

    @Override
    public Optional<Target> choose(GatewayService service, Set<String> tried, long nowNs) {
        mRegister.expire(nowNs);
        if (service.model().isEmpty()) {
            return choosePlain(service.name(), tried, nowNs);
        }
        EngineModel model = service.model().get();
        List<EngineChain> chains =
                usableChains(service, nowNs).stream()
                        .filter(chain -> tried.stream().noneMatch(chain::contains))
                        .toList();
        if (!chains.isEmpty()) {
            return mLoadBalancer
                    .leastLoaded(chains, mHealth::failing, nowNs)
                    .map(LeastLoadedTargetPolicy::target);
        }
        Predicate<UpstreamEntry> untried =
                entry -> !tried.contains(entry.id()) && mAdmission.admits(entry, nowNs);
        ChainFinder finder = new ChainFinder(model, mLocalDomain);
        List<UpstreamEntry> engines = mRegister.findByService(service.name());
        return finder.findCheapest(engines, usable(nowNs).and(untried))
                .or(() -> finder.findCheapest(engines, untried))
                .map(LeastLoadedTargetPolicy::target);
    }

    /**
     * Returns the chains that requests can be sent to.
     *
     * @param service the service
     * @param nowNs monotonic time
     * @return chains, empty for a plain service
     */
    public List<EngineChain> usableChains(GatewayService service, long nowNs) {
        return service.model()
                .map(
                        model ->
                                chains(service, model, nowNs).stream()
                                        .filter(
                                                chain ->
                                                        mAdmission.admits(
                                                                chain.firstEngine(), nowNs))
                                        .toList())
                .orElse(List.of());
    }

    @Override
    public boolean admits(GatewayService service, long nowNs) {
        if (service.model().isEmpty()) {
            return true;
        }
        EngineModel model = service.model().get();
        CapacityLossAdmission admission = admission(service.name());
        double usualTokens = model.usualPromptTokens() + model.usualAnswerTokens();
        admission.onCapacity(memory(chains(service, model, nowNs)) / usualTokens, nowNs);
        return admission.admits(mModelInProgress.getOrDefault(service.name(), 0));
    }

    /**
     * Describes the capacity that new requests of a model are limited by.
     *
     * @param service the service
     * @return figures for a log line
     */
    public String describeCapacity(GatewayService service) {
        return admission(service.name()).describe(mModelInProgress.getOrDefault(service.name(), 0));
    }

    private CapacityLossAdmission admission(String service) {
        return mAdmissions.computeIfAbsent(
                service, name -> new CapacityLossAdmission(mDaemons, mRandom));
    }

    private static double memory(List<EngineChain> chains) {
        return chains.stream().mapToDouble(EngineChain::kvCapacityTokens).sum();
    }

    private static Target target(EngineChain chain) {
        return new Target(chain.firstEngine(), Optional.of(chain));
    }

    @Override
    public void onSent(Target target) {
        UpstreamEntry upstream = target.upstream();
        if (target.chain().isPresent()) {
            mLoadBalancer.onSent(target.chain().get());
            mModelInProgress.merge(upstream.service(), 1, Integer::sum);
        } else {
            mPlainInProgress.merge(upstream.id(), 1, Integer::sum);
        }
    }

    @Override
    public void onEvent(Target target, double pauseMs, int tokens, long nowNs) {
        target.chain().ifPresent(chain -> mLatency.onToken(chain, pauseMs / tokens, nowNs));
    }

    @Override
    public void onEnded(Target target) {
        UpstreamEntry upstream = target.upstream();
        if (target.chain().isPresent()) {
            mLoadBalancer.onEnded(target.chain().get());
            decrement(mModelInProgress, upstream.service());
        } else {
            decrement(mPlainInProgress, upstream.id());
        }
    }

    private static void decrement(Map<String, Integer> counts, String key) {
        counts.computeIfPresent(key, (k, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Predicts the time until there is capacity for a request that was refused: that in which lost
     * engines are back, or else that in which requests in progress end.
     *
     * @param service service of the request
     * @param nowNs monotonic time
     * @return time, that of the shortest pause if all upstreams ask for one; empty if unknown
     */
    public Optional<Duration> expectedCapacityTime(GatewayService service, long nowNs) {
        Optional<Duration> pause =
                mAdmission.shortestPause(mRegister.findByService(service.name()), nowNs);
        if (pause.isPresent()) {
            return pause;
        }
        CachedChains cached = mCachedChains.get(service.name());
        if (service.model().isEmpty() || cached == null || cached.found().isEmpty()) {
            return Optional.empty();
        }
        EngineModel model = service.model().get();
        if (admission(service.name()).isLimiting()) {
            double stages =
                    cached.found().stream()
                            .mapToInt(chain -> chain.stages().size())
                            .average()
                            .orElseThrow();
            return Optional.of(CapacityLossAdmission.repairTime(model, stages));
        }
        double tokenMs =
                cached.found().stream()
                        .mapToDouble(chain -> mLatency.expectedMs(chain, nowNs))
                        .average()
                        .orElseThrow();
        return Optional.of(Duration.ofMillis((long) (tokenMs * model.usualAnswerTokens() / 2)));
    }

    /**
     * Describes why upstreams of a service may not get requests, by what they say themselves.
     *
     * @param service service of a request
     * @param nowNs monotonic time
     * @return number of upstreams by obstacle, empty string if there is none
     */
    public String describeObstacles(GatewayService service, long nowNs) {
        var counts = mAdmission.countObstacles(mRegister.findByService(service.name()), nowNs);
        return counts.isEmpty() ? "" : " " + counts;
    }

    private Optional<Target> choosePlain(String service, Set<String> tried, long nowNs) {
        UpstreamEntry best = null;
        double bestScore = 0;
        for (UpstreamEntry entry : mRegister.findByService(service)) {
            if (tried.contains(entry.id()) || !mAdmission.admits(entry, nowNs)) {
                continue;
            }
            double score = mPlainInProgress.getOrDefault(entry.id(), 0) + mRandom.nextDouble() / 4;
            if (!entry.domain().equals(mLocalDomain)) {
                score += REMOTE_DOMAIN_PENALTY_REQUESTS;
            }
            if (mHealth.excluded(entry.id(), nowNs)) {
                score += entry.slots();
            }
            if (best == null || score < bestScore) {
                best = entry;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best).map(entry -> new Target(entry, Optional.empty()));
    }

    private List<EngineChain> chains(GatewayService service, EngineModel model, long nowNs) {
        String version =
                mRegister.version()
                        + "/"
                        + mHealth.version()
                        + "/"
                        + mAdmission.leaving().version();
        CachedChains cached = mCachedChains.get(service.name());
        if (cached != null && cached.model().equals(model)) {
            if (!cached.checkedVersion().equals(version)) {
                cached =
                        cached.checked(
                                cached.found().stream()
                                        .filter(chain -> isIntact(chain, nowNs))
                                        .toList(),
                                version);
                mCachedChains.put(service.name(), cached);
            }
            if (cached.isFresh(nowNs)) {
                return cached.intact();
            }
        }
        List<UpstreamEntry> engines = mRegister.findByService(service.name());
        List<UpstreamEntry> usable = engines.stream().filter(usable(nowNs)).toList();
        List<EngineChain> chains =
                new ChainFinder(model, mLocalDomain).findPacked(usable, engine -> true);
        mOutages.onSearched(service.name(), model, chains.size(), usable, nowNs);
        boolean complete = usable.size() == engines.size();
        mCachedChains.put(
                service.name(),
                new CachedChains(model, chains, version, nowNs, complete, chains, version));
        return chains;
    }

    /** Checks that every stage is still as it was when the chain was found. */
    private boolean isIntact(EngineChain chain, long nowNs) {
        return chain.stages().stream()
                .allMatch(
                        stage ->
                                mRegister
                                                .findById(stage.engine().id())
                                                .filter(
                                                        current ->
                                                                !mAdmission
                                                                        .leaving()
                                                                        .isLeaving(current, nowNs))
                                                .filter(
                                                        current ->
                                                                current.startedAtMs()
                                                                        == stage.engine()
                                                                                .startedAtMs())
                                                .filter(
                                                        current ->
                                                                current.address()
                                                                        .equals(
                                                                                stage.engine()
                                                                                        .address()))
                                                .flatMap(UpstreamEntry::layers)
                                                .filter(held -> held.contains(stage.layers()))
                                                .isPresent()
                                        && !mHealth.excluded(stage.engine().id(), nowNs));
    }

    private Predicate<UpstreamEntry> usable(long nowNs) {
        return entry ->
                !mHealth.excluded(entry.id(), nowNs)
                        && !mAdmission.leaving().isLeaving(entry, nowNs);
    }
}
