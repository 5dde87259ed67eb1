package org.amaranthpick.core.manifest;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;

/**
 * Network link, used in both directions. It connects two failure domains, or two upstreams whose
 * connection differs from that of their domains.
 *
 * @param from identity of kind DOMAIN or UPSTREAM
 * @param to identity of the same kind as {@code from}; equal to it for the links within a domain
 * @param latency one-way latency
 * @param bytesPerSecond bandwidth, above 0
 */
public record LinkSpec(Identity from, Identity to, Duration latency, long bytesPerSecond) {}
