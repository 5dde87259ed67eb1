/** Invariants asserted inside the program and counted. */
package org.amaranthpick.core.invariant;
