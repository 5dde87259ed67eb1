package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/**
 * States that a host or an upstream is leaving, or is back. Of two notices the one with the higher
 * sequence wins; with equal sequences, the one that says leaving wins.
 *
 * @param target identity of kind HOST or UPSTREAM
 * @param domain failure domain of the target
 * @param bootId boot of the target that the notice applies to
 * @param leaving true if the target accepts no new work
 * @param sequenceMs wall-clock time at the daemon that issued the notice, in milliseconds
 */
public record LeavingNotice(
        Identity target, Identity domain, String bootId, boolean leaving, long sequenceMs) {
    /**
     * Returns whether this notice supersedes another one of the same target.
     *
     * @param other notice known so far
     * @return true if this notice wins
     */
    public boolean supersedes(LeavingNotice other) {
        if (sequenceMs != other.sequenceMs) {
            return sequenceMs > other.sequenceMs;
        }
        return leaving && !other.leaving;
    }
}
