package org.amaranthpick.core.quarantine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Quarantine of parts of prompts, and of whole requests, under which upstreams crash. Designed for
 * requests that crash every engine that begins to run them: no daemon sees more than a few of the
 * crashes, each crash also ends sound requests, and requests differ in all but one part of their
 * prompts, or one request is repeated whose parts are shared with sound ones.
 *
 * <p>A part is suspected of a crash if a request with it had been sent to the upstream and had not
 * been answered for long. It is quarantined once several upstreams have crashed under it and none
 * has answered a request with it meanwhile. Parts of sound requests are cleared by the next answer,
 * and are not suspected of a crash under a part that is in quarantine.
 *
 * <p>A whole request counts as the most specific part of itself. Crashes under a request in
 * quarantine together count once against its other parts. A sound request that met the crashes of
 * another one cannot be cleared by answers to others; a request in quarantine is therefore sent
 * again as a trial, a few times. Confined to one thread.
 */
public final class PromptQuarantine {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Crashes that put a part into quarantine. */
    public static final int CRASHES_OF_QUARANTINE = 3;

    /**
     * Responses that a request may lose before the daemon that has it stops sending it, if a crash
     * was among the causes. Less than the crashes of quarantine, so that the third crash is another
     * request's if it is not the request but a part of it that crashes upstreams.
     */
    public static final int MAX_LOSSES_OF_REQUEST = 2;

    /** Time for which a crash counts, and thereby of the quarantine after the last one. */
    static final Duration CRASH_LIFETIME = Duration.ofMinutes(10);

    /** Time by which an answer to a request with a part makes it no suspect of a later crash. */
    static final Duration CLEARED_BY_ANSWER = Duration.ofSeconds(2);

    /** Time for which a crash counts against a request that is not in quarantine. */
    private static final Duration REQUEST_SUSPICION = Duration.ofMinutes(2);

    /** Times from the last crash or trial to each trial of a request. */
    private static final List<Duration> TRIAL_DELAYS =
            List.of(Duration.ofSeconds(10), Duration.ofSeconds(60));

    /** Shortest time after which callers are told to come back. */
    private static final Duration MIN_TIME_LEFT = Duration.ofSeconds(1);

    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(1);
    private static final String REQUEST_PREFIX = "request:";

    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_REQUEST_SUSPECTS = 4096;
    private static final int MAX_ANSWERED_PARTS = 4096;
    private static final int MAX_ID_LENGTH = 128;

    private final Map<String, Suspect> mSuspects = new LinkedHashMap<>();
    private final Map<String, Suspect> mRequestSuspects = new LinkedHashMap<>();
    private final Map<String, Long> mAnsweredNs =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_ANSWERED_PARTS;
                }
            };
    private final Set<String> mQuarantined = new HashSet<>();
    private long mNextExpiryNs = Long.MIN_VALUE;
    private boolean mIsolated;
    private QuarantineListener mListener = (report, concernsAll) -> {};
    private Runnable mOnQuarantine = () -> {};

    /**
     * Returns the part that stands for a whole request.
     *
     * @param digest digest that all repeats of the request have in common
     * @return part, to be listed after all others of the request
     */
    public static String requestPart(String digest) {
        return REQUEST_PREFIX + digest;
    }

    /**
     * Sets the listener of this daemon's own observations.
     *
     * @param listener the listener
     */
    public void setListener(QuarantineListener listener) {
        mListener = listener;
    }

    /**
     * Sets the task that runs after a part has been put into quarantine.
     *
     * @param onQuarantine the task
     */
    public void setOnQuarantine(Runnable onQuarantine) {
        mOnQuarantine = onQuarantine;
    }

    /**
     * Sets whether this daemon reaches no other one. It then learns of no crash under other
     * requests, and the crashes under one request count in full against those parts of its prompt
     * under which no request has been answered.
     *
     * @param isolated whether no other daemon is reached
     */
    public void setIsolated(boolean isolated) {
        if (mIsolated == isolated) {
            return;
        }
        mIsolated = isolated;
        List.copyOf(mSuspects.keySet())
                .forEach(
                        part -> {
                            quarantineIfDue(part, mSuspects.get(part));
                            releaseIfDoubtful(part, mSuspects.get(part));
                        });
    }

    /**
     * Records that an upstream crashed before it had answered a request for long.
     *
     * @param upstreamId id of the upstream
     * @param parts shared parts of the request's prompt, in order
     * @param nowNs monotonic time
     */
    public void onCrash(String upstreamId, List<String> parts, long nowNs) {
        expire(nowNs);
        // The more specific parts come later in a prompt and are suspected first.
        for (int i = parts.size() - 1; i >= 0; i--) {
            String part = parts.get(i);
            if (addCrash(part, parts.subList(0, i), upstreamId, nowNs)) {
                notifyListener(part, concernsAll(part), nowNs);
            }
        }
    }

    /**
     * Records that an upstream has been answering a request for long, or has answered it.
     *
     * @param parts shared parts of the request's prompt
     * @param nowNs monotonic time
     */
    public void onAnswered(List<String> parts, long nowNs) {
        for (String part : parts) {
            boolean concernsAll = concernsAll(part);
            if (clear(part, nowNs)) {
                notifyListener(part, concernsAll, nowNs);
            }
        }
    }

    private void notifyListener(String part, boolean concernsAll, long nowNs) {
        mListener.onObservation(report(part, nowNs), concernsAll);
    }

    private boolean concernsAll(String part) {
        return !isRequest(part)
                || suspect(part).filter(suspect -> suspect.crashedNs().size() > 1).isPresent();
    }

    private static boolean isRequest(String part) {
        return part.startsWith(REQUEST_PREFIX);
    }

    private Map<String, Suspect> suspectsLike(String part) {
        return isRequest(part) ? mRequestSuspects : mSuspects;
    }

    private Optional<Suspect> suspect(String part) {
        return Optional.ofNullable(suspectsLike(part).get(part));
    }

    /**
     * Applies what another daemon reports.
     *
     * @param report the report
     * @param nowNs monotonic time
     * @return whether it was news, or is contradicted by what this daemon has seen
     */
    public MergeResult merge(PartReport report, long nowNs) {
        expire(nowNs);
        boolean concernedAll = concernsAll(report.part());
        boolean news = false;
        if (report.soundAgeMs() >= 0) {
            news = clear(report.part(), nowNs - Duration.ofMillis(report.soundAgeMs()).toNanos());
        }
        boolean contradicted = false;
        for (Map.Entry<String, Long> crash : report.crashAgesMs().entrySet()) {
            long crashedNs = nowNs - Duration.ofMillis(Math.max(0, crash.getValue())).toNanos();
            contradicted |= isCleared(report.part(), crashedNs);
            news |= addCrash(report.part(), report.sharedParts(), crash.getKey(), crashedNs);
        }
        if (news) {
            return concernedAll || concernsAll(report.part())
                    ? MergeResult.NEWS
                    : MergeResult.NOTED;
        }
        return contradicted ? MergeResult.CONTRADICTED : MergeResult.KNOWN;
    }

    /**
     * Returns how much longer requests with one of some parts are not sent to upstreams.
     *
     * @param parts parts of a prompt
     * @param nowNs monotonic time
     * @return longest time left, empty if none of the parts is in quarantine
     */
    public Optional<Duration> timeLeft(List<String> parts, long nowNs) {
        if (mQuarantined.isEmpty()) {
            return Optional.empty();
        }
        expire(nowNs);
        return parts.stream()
                .filter(mQuarantined::contains)
                .map(part -> timeLeft(part, nowNs))
                .filter(left -> left.compareTo(Duration.ZERO) > 0)
                .max(Duration::compareTo);
    }

    private Duration timeLeft(String part, long nowNs) {
        Suspect suspect = suspect(part).orElseThrow();
        Duration sinceLastCrash = Duration.ofNanos(nowNs - suspect.lastCrashNs());
        if (!isTriable(part, suspect)) {
            return CRASH_LIFETIME.minus(sinceLastCrash);
        }
        Duration untilTrial = TRIAL_DELAYS.get(suspect.trials()).minus(sinceLastCrash);
        return untilTrial.compareTo(MIN_TIME_LEFT) > 0 ? untilTrial : MIN_TIME_LEFT;
    }

    private static boolean isTriable(String part, Suspect suspect) {
        return isRequest(part) && suspect.trials() < TRIAL_DELAYS.size();
    }

    /**
     * Acquires the trial of a request in quarantine, if one is due. The trial counts as a crash
     * until it is answered, so that no other daemon tries at the same time.
     *
     * @param parts parts of the request
     * @param daemon name of this daemon
     * @param nowNs monotonic time
     * @return whether the request may be sent, once
     */
    public boolean acquireTrial(List<String> parts, String daemon, long nowNs) {
        List<String> quarantined = parts.stream().filter(mQuarantined::contains).toList();
        if (quarantined.size() != 1) {
            return false;
        }
        String part = quarantined.get(0);
        Suspect suspect = suspect(part).orElseThrow();
        if (!isTriable(part, suspect)
                || nowNs - suspect.lastCrashNs() < TRIAL_DELAYS.get(suspect.trials()).toNanos()) {
            return false;
        }
        suspect.addTrial(daemon, nowNs);
        notifyListener(part, true, nowNs);
        return true;
    }

    /**
     * Checks whether a crash counts against a part.
     *
     * @param part part of a prompt, or a whole request
     * @return whether it is suspected or in quarantine
     */
    public boolean isSuspected(String part) {
        return suspect(part).filter(suspect -> !suspect.crashedNs().isEmpty()).isPresent();
    }

    boolean isQuarantined(String part) {
        return mQuarantined.contains(part);
    }

    /**
     * Returns what is known of the parts in quarantine.
     *
     * @param nowNs monotonic time
     * @return one report for each of them
     */
    public List<PartReport> quarantined(long nowNs) {
        expire(nowNs);
        return mQuarantined.stream().sorted().map(part -> report(part, nowNs)).toList();
    }

    /**
     * Returns all that is known of a part.
     *
     * @param part id of the part
     * @param nowNs monotonic time
     * @return report
     */
    public PartReport report(String part, long nowNs) {
        return PartReport.of(part, suspect(part), mAnsweredNs.get(part), nowNs);
    }

    private boolean addCrash(
            String part, List<String> sharedParts, String upstreamId, long crashedNs) {
        if (part.length() > MAX_ID_LENGTH
                || upstreamId.length() > MAX_ID_LENGTH
                || isCleared(part, crashedNs)) {
            return false;
        }
        Optional<Suspect> suspect = findOrAddSuspect(part);
        suspect.filter(request -> isRequest(part))
                .ifPresent(request -> request.sharedParts().addAll(sharedParts));
        if (suspect.isEmpty()
                || !suspect.get().add(upstreamId, crashedNs, isExplained(part, upstreamId))) {
            return false;
        }
        quarantineIfDue(part, suspect.get());
        return true;
    }

    private void quarantineIfDue(String part, Suspect suspect) {
        boolean begins = evidence(part, suspect) >= CRASHES_OF_QUARANTINE && mQuarantined.add(part);
        if (mQuarantined.contains(part)) {
            clearOthersOf(part, suspect.crashedNs().keySet());
        }
        if (begins) {
            sLogger.atWarning().log(
                    "quarantine: part=%s crashed=%s", part, suspect.crashedNs().keySet());
            mOnQuarantine.run();
        }
    }

    /** Counts crashes; those under the same request with the part, in quarantine, count once. */
    private int evidence(String part, Suspect suspect) {
        if (suspect.explainedNs().isEmpty()) {
            return suspect.crashedNs().size();
        }
        if (mIsolated && !mAnsweredNs.containsKey(part)) {
            return suspect.crashedNs().size() + suspect.explainedNs().size();
        }
        long requests =
                mQuarantined.stream()
                        .filter(PromptQuarantine::isRequest)
                        .map(mRequestSuspects::get)
                        .filter(request -> request.sharedParts().contains(part))
                        .filter(
                                request ->
                                        !Collections.disjoint(
                                                request.crashedNs().keySet(),
                                                suspect.explainedNs().keySet()))
                        .count();
        return suspect.crashedNs().size() + (int) requests;
    }

    private Optional<Suspect> findOrAddSuspect(String part) {
        Map<String, Suspect> suspects = suspectsLike(part);
        int maxSuspects = isRequest(part) ? MAX_REQUEST_SUSPECTS : MAX_SUSPECTS;
        if (!suspects.containsKey(part) && suspects.size() >= maxSuspects) {
            Optional<String> removed = Suspect.findLeast(suspects, mQuarantined);
            if (removed.isEmpty()) {
                return Optional.empty();
            }
            suspects.remove(removed.get());
        }
        return Optional.of(suspects.computeIfAbsent(part, key -> new Suspect()));
    }

    /**
     * Clears parts of prompts of the crashes under a part in quarantine: all others if it is a
     * request, since that is more specific, else those that are not in quarantine themselves.
     */
    private void clearOthersOf(String quarantined, Set<String> upstreamIds) {
        for (Map.Entry<String, Suspect> entry : mSuspects.entrySet()) {
            if (isRequest(quarantined) || !mQuarantined.contains(entry.getKey())) {
                entry.getValue().explain(upstreamIds);
                releaseIfDoubtful(entry.getKey(), entry.getValue());
            }
        }
    }

    private void releaseIfDoubtful(String part, Suspect suspect) {
        if (mQuarantined.contains(part)
                && evidence(part, suspect) < CRASHES_OF_QUARANTINE
                && mQuarantined.remove(part)) {
            sLogger.atWarning().log("quarantine: part=%s released", part);
        }
    }

    /** Checks whether another part in quarantine accounts for the crash under a part of prompts. */
    private boolean isExplained(String part, String upstreamId) {
        return !isRequest(part)
                && mQuarantined.stream()
                        .filter(other -> !other.equals(part))
                        .filter(other -> isRequest(other) || !mQuarantined.contains(part))
                        .flatMap(other -> suspect(other).stream())
                        .anyMatch(other -> other.crashedNs().containsKey(upstreamId));
    }

    private boolean isCleared(String part, long crashedNs) {
        Long answeredNs = mAnsweredNs.get(part);
        return answeredNs != null && answeredNs + CLEARED_BY_ANSWER.toNanos() >= crashedNs;
    }

    /** Records an answer; returns whether it clears the part of a crash. */
    private boolean clear(String part, long answeredNs) {
        if (part.length() > MAX_ID_LENGTH) {
            return false;
        }
        long latestNs = Math.max(answeredNs, mAnsweredNs.getOrDefault(part, answeredNs));
        mAnsweredNs.remove(part);
        mAnsweredNs.put(part, latestNs);
        Suspect suspect = suspectsLike(part).get(part);
        if (suspect == null || !suspect.removeIf(atNs -> isCleared(part, atNs))) {
            return false;
        }
        releaseIfDoubtful(part, suspect);
        if (suspect.isEmpty()) {
            suspectsLike(part).remove(part);
        }
        return true;
    }

    private void expire(long nowNs) {
        if (nowNs < mNextExpiryNs) {
            return;
        }
        mNextExpiryNs = nowNs + EXPIRY_PERIOD.toNanos();
        mSuspects.values().removeIf(suspect -> isExpired(suspect, CRASH_LIFETIME, nowNs));
        mRequestSuspects
                .entrySet()
                .removeIf(
                        entry ->
                                isExpired(
                                        entry.getValue(),
                                        mQuarantined.contains(entry.getKey())
                                                ? CRASH_LIFETIME
                                                : REQUEST_SUSPICION,
                                        nowNs));
        mQuarantined.removeIf(part -> suspect(part).isEmpty());
    }

    private static boolean isExpired(Suspect suspect, Duration lifetime, long nowNs) {
        return suspect.isEmpty() || nowNs - suspect.lastCrashNs() > lifetime.toNanos();
    }
}
