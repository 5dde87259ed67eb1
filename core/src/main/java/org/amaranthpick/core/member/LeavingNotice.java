package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/**
 * Word that a host or an upstream is leaving, or is back. The one with the higher sequence holds;
 * of two with the same sequence, the one that says leaving.
 *
 * @param target identity of kind HOST or UPSTREAM
 * @param domain failure domain of the target
 * @param bootId boot that the word is about
 * @param leaving true if it takes no new work
 * @param sequenceMs wall-clock time of the source, in milliseconds
 */
public record LeavingNotice(
        Identity target, Identity domain, String bootId, boolean leaving, long sequenceMs) {
    /**
     * Tells whether this notice replaces another one of the same target.
     *
     * @param other notice held
     * @return true if this one is newer
     */
    public boolean replaces(LeavingNotice other) {
        if (sequenceMs != other.sequenceMs) {
            return sequenceMs > other.sequenceMs;
        }
        return leaving && !other.leaving;
    }
}
