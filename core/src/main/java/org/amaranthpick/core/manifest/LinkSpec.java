package org.amaranthpick.core.manifest;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;

/**
 * Link between two places, used in both directions. A place is a domain, or an upstream where one
 * pair differs from its domains.
 *
 * @param from identity of kind DOMAIN or UPSTREAM
 * @param to identity of the same kind as {@code from}; may equal it for a domain's inner links
 * @param latency one-way latency
 * @param bytesPerSecond bandwidth, above 0
 */
public record LinkSpec(Identity from, Identity to, Duration latency, long bytesPerSecond) {}
