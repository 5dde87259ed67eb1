package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Host that carries upstreams.
 *
 * @param id identity of kind HOST
 * @param domain failure domain it stands in
 * @param rack name of the rack or switch that it shares with others, empty if unknown
 */
public record HostSpec(Identity id, Identity domain, String rack) {}
