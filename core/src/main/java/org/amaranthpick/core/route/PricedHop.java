package org.amaranthpick.core.route;

/**
 * Hop with its predicted share of the time to the first token.
 *
 * @param hop the hop
 * @param costNs predicted time, in nanoseconds
 */
record PricedHop(Hop hop, long costNs) {}
