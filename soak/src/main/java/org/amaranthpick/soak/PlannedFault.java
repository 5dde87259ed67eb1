package org.amaranthpick.soak;

import java.time.Duration;

/**
 * One fault of a plan.
 *
 * @param kind what happens
 * @param target number of the daemon or link, within those there are
 * @param at time from the start of the faults
 * @param length how long it lasts
 */
record PlannedFault(FaultKind kind, int target, Duration at, Duration length) {}
