package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Adapter of a model version.
 *
 * @param id identity of kind ADAPTER
 * @param modelVersion model version it fits
 * @param layerBytes its weights in one layer
 */
public record AdapterSpec(Identity id, Identity modelVersion, long layerBytes) {}
