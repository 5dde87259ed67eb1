/** Daemons as processes of their own under overlapping faults, judged by what callers see. */
package org.amaranthpick.soak;
