package org.amaranthpick.core.quarantine;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Stream;

/**
 * Part that is suspected, with the time of each crash by id of the upstream.
 *
 * @param crashedNs crashes that count
 * @param explainedNs crashes that another part in quarantine accounts for. They do not count here,
 *     but may do so on daemons that learned of the crashes in another order; an answer that clears
 *     the part of them is therefore reported.
 * @param sharedParts if the part stands for a whole request, the other parts of it
 */
record Suspect(
        Map<String, Long> crashedNs, Map<String, Long> explainedNs, Set<String> sharedParts) {
    /** Start of an id that stands for the upstream of a trial, until the trial is answered. */
    private static final String TRIAL_PREFIX = "trial:";

    private static final int MAX_CRASHES = 16;

    Suspect() {
        this(new LinkedHashMap<>(), new LinkedHashMap<>(), new LinkedHashSet<>());
    }

    /** Finds the eldest part with one crash, else the eldest one that is not in quarantine. */
    static Optional<String> findLeast(Map<String, Suspect> suspects, Set<String> quarantined) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().crashedNs().size() <= 1)
                .map(Map.Entry::getKey)
                .filter(other -> !quarantined.contains(other))
                .findFirst()
                .or(
                        () ->
                                suspects.keySet().stream()
                                        .filter(other -> !quarantined.contains(other))
                                        .findFirst());
    }

    long lastCrashNs() {
        return Stream.of(crashedNs, explainedNs)
                .flatMap(crashes -> crashes.values().stream())
                .mapToLong(Long::longValue)
                .max()
                .orElseThrow();
    }

    boolean isEmpty() {
        return crashedNs.isEmpty() && explainedNs.isEmpty();
    }

    boolean add(String upstreamId, long atNs, boolean explained) {
        if (crashedNs.size() + explainedNs.size() >= MAX_CRASHES
                || crashedNs.containsKey(upstreamId)) {
            return false;
        }
        return (explained ? explainedNs : crashedNs).putIfAbsent(upstreamId, atNs) == null;
    }

    void explain(Set<String> upstreamIds) {
        for (String id : upstreamIds) {
            Optional.ofNullable(crashedNs.remove(id)).ifPresent(atNs -> explainedNs.put(id, atNs));
        }
    }

    int trials() {
        return (int) crashedNs.keySet().stream().filter(id -> id.startsWith(TRIAL_PREFIX)).count();
    }

    void addTrial(String daemon, long atNs) {
        crashedNs.put(TRIAL_PREFIX + daemon + ":" + trials(), atNs);
    }

    boolean removeIf(LongPredicate atNs) {
        boolean counted = crashedNs.values().removeIf(atNs::test);
        return explainedNs.values().removeIf(atNs::test) || counted;
    }
}
