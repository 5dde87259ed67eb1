package org.amaranthpick.core.manifest;

import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Pipeline: a model version with an optional adapter that callers select as {@code model}.
 *
 * @param id identity of kind PIPELINE
 * @param modelVersion model version that serves the requests
 * @param adapter adapter applied to it, if any
 * @param minChains complete chains of engines that placement keeps available, 1 or more
 */
public record PipelineSpec(
        Identity id, Identity modelVersion, Optional<Identity> adapter, int minChains) {}
