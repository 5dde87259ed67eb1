package org.amaranthpick.core.member;

/** State of a daemon as this daemon believes it. */
public enum MemberState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD;

    /**
     * Tells whether new work may go there.
     *
     * @return true for ALIVE and SUSPECT
     */
    public boolean acceptsWork() {
        return this == ALIVE || this == SUSPECT;
    }
}
