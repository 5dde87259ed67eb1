package org.amaranthpick.core.reach;

/** Reason why no path to an upstream was found. */
public enum PathFault {
    /** Another daemon does not reach the upstream either, or there is none that could be asked. */
    UPSTREAM,
    /** This daemon reaches other upstreams meanwhile; nobody else has been asked yet. */
    UNCONFIRMED,
    /** No daemon that was asked knows more: the paths of this daemon may be at fault. */
    OWN_PATH
}
