package org.amaranthpick.core.route;

/**
 * Hop and its contribution to the predicted time to the first token.
 *
 * @param hop the hop
 * @param costNs predicted time, in nanoseconds
 */
record CostedHop(Hop hop, long costNs) {}
