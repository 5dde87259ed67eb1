package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Failure domain.
 *
 * @param id identity of kind DOMAIN
 * @param region name of the region; the same name in two fleets is the same region
 */
public record DomainSpec(Identity id, String region) {}
