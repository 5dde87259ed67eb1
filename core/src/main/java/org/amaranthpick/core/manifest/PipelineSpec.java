package org.amaranthpick.core.manifest;

import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Pipeline: what callers name as a model.
 *
 * @param id identity of kind PIPELINE
 * @param modelVersion model version that answers
 * @param adapter adapter applied, if any
 * @param minChains working chains that placement keeps, 1 or more
 */
public record PipelineSpec(
        Identity id, Identity modelVersion, Optional<Identity> adapter, int minChains) {}
