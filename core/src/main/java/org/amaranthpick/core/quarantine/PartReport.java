package org.amaranthpick.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What a daemon knows of a part of prompts, or of a whole request, on its way to other daemons.
 * Times are ages, since the clocks of hosts differ.
 *
 * @param part id of the part
 * @param crashAgesMs time since each upstream crashed under a request with the part, in ms, by id
 *     of the upstream
 * @param soundAgeMs time since an upstream last answered a request with the part, in ms; negative
 *     if unknown
 * @param sharedParts if the part stands for a whole request, the other parts of it
 */
public record PartReport(
        String part, Map<String, Long> crashAgesMs, long soundAgeMs, List<String> sharedParts) {
    /** Highest age; one that does not fit into the clock would read as a time to come. */
    private static final long MAX_AGE_MS = Duration.ofDays(1).toMillis();

    /** Copies the map and refuses incomplete reports, as they may come from elsewhere. */
    public PartReport {
        Objects.requireNonNull(part, "a report must name the part");
        Objects.requireNonNull(crashAgesMs, "a report must list the crashes");
        Map<String, Long> ages = new HashMap<>();
        crashAgesMs.forEach((id, ageMs) -> ages.put(id, Math.min(ageMs, MAX_AGE_MS)));
        crashAgesMs = Map.copyOf(ages);
        soundAgeMs = Math.min(soundAgeMs, MAX_AGE_MS);
        sharedParts = sharedParts == null ? List.of() : List.copyOf(sharedParts);
    }

    /** Creates the report of a part that crashes are held against, or that was answered. */
    static PartReport of(String part, Optional<Suspect> suspect, Long answeredNs, long nowNs) {
        Map<String, Long> ages = new HashMap<>();
        suspect.ifPresent(
                known -> {
                    known.crashedNs().forEach((id, atNs) -> ages.put(id, ageMs(atNs, nowNs)));
                    known.explainedNs().forEach((id, atNs) -> ages.put(id, ageMs(atNs, nowNs)));
                });
        return new PartReport(
                part,
                ages,
                answeredNs == null ? -1 : ageMs(answeredNs, nowNs),
                suspect.map(known -> List.copyOf(known.sharedParts())).orElse(List.of()));
    }

    private static long ageMs(long sinceNs, long nowNs) {
        return Math.max(0, Duration.ofNanos(nowNs - sinceNs).toMillis());
    }
}
