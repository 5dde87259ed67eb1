package org.amaranthpick.core.layers;

import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Decides when engines of a failure domain that hold layers may get other ones. Such an order stops
 * the streams of the engine's chain, while engines that pause go on after about a second, and those
 * that crashed or were partitioned mostly register again within seconds. Designed for engines that
 * come and go all the time under load: layers that stay missing are replaced however often the
 * other engines change, unless engines are returning with their layers. A new holder of the lease
 * begins anew, as it doesn't know the orders that the previous one has just sent. Layers of an
 * engine that announces that it leaves are replaced at once, since it doesn't come back.
 */
public final class RepairDelay {
    /** Time for which layers must be missing, and no engine may have returned with its layers. */
    public static final Duration PERIOD = Duration.ofSeconds(3);

    private final Map<String, Domain> mDomains = new HashMap<>();

    /** What is known of a failure domain. */
    private static final class Domain {
        private Set<String> mMembers = Set.of();
        private long mReturnedNs;
        private long[] mMissingSinceNs = new long[0];

        /** Layers that no engine holds, and those that engines hold which announced to leave. */
        private final BitSet mMissing = new BitSet();

        private final BitSet mLeaving = new BitSet();
    }

    /**
     * Records the registered engines.
     *
     * @param registered all engines of the service, also those that get no orders
     * @param nowNs monotonic time
     */
    void onMembers(Collection<UpstreamEntry> registered, long nowNs) {
        Map<String, Set<String>> present = new HashMap<>();
        mDomains.values().forEach(domain -> domain.mLeaving.clear());
        for (UpstreamEntry entry : registered) {
            present.computeIfAbsent(entry.domain(), domain -> new HashSet<>()).add(entry.id());
            Domain domain = mDomains.computeIfAbsent(entry.domain(), name -> new Domain());
            if (entry.layers().isPresent() && !domain.mMembers.contains(entry.id())) {
                domain.mReturnedNs = nowNs;
            }
            if (entry.leaving()) {
                entry.layers().ifPresent(held -> domain.mLeaving.set(held.from(), held.to()));
            }
        }
        mDomains.forEach((name, domain) -> domain.mMembers = present.getOrDefault(name, Set.of()));
    }

    /**
     * Records the layers that are held or ordered.
     *
     * @param group engines of the failure domains that hold copies together, without those that
     *     have failed and not succeeded since
     * @param holders number of the group's engines that hold each layer
     * @param nowNs monotonic time
     */
    void onHolders(List<EngineLayerState> group, int[] holders, long nowNs) {
        Set<String> names = new HashSet<>();
        group.forEach(engine -> names.add(engine.domain()));
        for (String name : names) {
            Domain domain = mDomains.computeIfAbsent(name, n -> new Domain());
            long[] sinceNs = domain.mMissingSinceNs;
            domain.mMissingSinceNs = new long[holders.length];
            domain.mMissing.clear();
            for (int layer = 0; layer < holders.length; layer++) {
                boolean known = layer < sinceNs.length && holders[layer] == 0;
                domain.mMissingSinceNs[layer] = known ? sinceNs[layer] : nowNs;
                domain.mMissing.set(layer, holders[layer] == 0);
            }
        }
    }

    /**
     * Checks whether engines of a domain that hold layers may get other ones.
     *
     * @param name name of the failure domain
     * @param nowNs monotonic time
     * @return true if layers are missing that an engine took along which announced to leave, or
     *     have been missing for {@link #PERIOD} and no engine has returned with its layers
     *     meanwhile
     */
    boolean allowsRepair(String name, long nowNs) {
        Domain domain = mDomains.get(name);
        if (domain == null) {
            return false;
        }
        if (domain.mMissing.intersects(domain.mLeaving)) {
            return true;
        }
        long sinceNs = nowNs - PERIOD.toNanos();
        boolean missingLong = false;
        for (long missingSinceNs : domain.mMissingSinceNs) {
            missingLong |= missingSinceNs <= sinceNs;
        }
        return missingLong && domain.mReturnedNs <= sinceNs;
    }
}
