package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.time.Scheduler;

/**
 * Quarantine of the beginnings of prompts under which stages of this daemon's requests are lost.
 * Thread-safe.
 */
final class CrashingPrompts {
    private final Scheduler mScheduler;
    private final PromptQuarantine mQuarantine = new PromptQuarantine();

    CrashingPrompts(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Returns the parts by which a prompt is compared with others. Since hashes are chained, each
     * stands for all blocks up to it. The number of blocks grows by an eighth or more from part to
     * part, so that long prompts have few parts and prompts of different lengths have the same.
     *
     * @param prefixHashes chained hash of each full block of the prompt
     * @return ids of the parts, the shortest first
     */
    static List<String> parts(List<Long> prefixHashes) {
        List<String> parts = new ArrayList<>();
        for (int blocks = 1; blocks <= prefixHashes.size(); blocks += 1 + blocks / 8) {
            parts.add(Long.toHexString(prefixHashes.get(blocks - 1)));
        }
        return parts;
    }

    /** Records that a stage was lost before it had returned a token of a request. */
    synchronized void onStageLost(Identity stage, List<String> parts) {
        mQuarantine.onCrash(stage.qualifiedName(), parts, mScheduler.monotonicNs());
    }

    /** Records that a request was answered. */
    synchronized void onAnswered(List<String> parts) {
        mQuarantine.onAnswered(parts, mScheduler.monotonicNs());
    }

    /** Returns how much longer requests with some parts are not sent, empty if they are. */
    synchronized Optional<Duration> timeLeft(List<String> parts) {
        return mQuarantine.timeLeft(parts, mScheduler.monotonicNs());
    }
}
