package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Adapter (fine-tuned weights) for a model version.
 *
 * @param id identity of kind ADAPTER
 * @param modelVersion model version that the adapter applies to
 * @param layerBytes size of the adapter weights in one layer
 */
public record AdapterSpec(Identity id, Identity modelVersion, long layerBytes) {}
