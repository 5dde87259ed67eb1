package org.amaranthpick.standins.fleet;

/**
 * Engines of one kind in one failure domain.
 *
 * @param domain failure domain
 * @param card kind of their cards
 * @param count number of engines
 */
public record EngineGroup(String domain, String card, int count) {}
