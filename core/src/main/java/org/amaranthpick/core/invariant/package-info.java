/** Invariants checked at run time, with counters of violations. */
package org.amaranthpick.core.invariant;
