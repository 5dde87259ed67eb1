package org.amaranthpick.core.member;

/** State of a daemon as last known to this daemon. */
public enum MemberState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD;

    /**
     * Returns whether new work may be sent to a daemon in this state.
     *
     * @return true for ALIVE and SUSPECT
     */
    public boolean acceptsWork() {
        return this == ALIVE || this == SUSPECT;
    }
}
