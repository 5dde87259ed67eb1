package org.amaranthpick.core.room;

/**
 * Load of an engine at one moment.
 *
 * @param engineId id of the engine
 * @param fill part of its capacity that is taken, above 1 if requests wait
 * @param observedNs monotonic time of this daemon at which it was observed
 */
public record EngineLoad(String engineId, double fill, long observedNs) {}
