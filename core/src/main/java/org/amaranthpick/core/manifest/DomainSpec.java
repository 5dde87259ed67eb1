package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Failure domain: hosts that can fail together.
 *
 * @param id identity of kind DOMAIN
 * @param region name of the region; domains of different fleets with the same name are in one
 *     region
 */
public record DomainSpec(Identity id, String region) {}
