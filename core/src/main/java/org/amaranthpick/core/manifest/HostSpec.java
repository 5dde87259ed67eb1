package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Host that runs upstreams.
 *
 * @param id identity of kind HOST
 * @param domain failure domain that contains the host
 * @param rack name of the rack or switch that the host shares with others, empty if unknown
 */
public record HostSpec(Identity id, Identity domain, String rack) {}
