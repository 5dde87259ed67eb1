package org.amaranthpick.core.manifest;

import org.amaranthpick.core.name.Identity;

/**
 * Version of a model.
 *
 * @param id identity of kind MODEL_VERSION
 * @param layers number of layers, 1 or more
 * @param layerWeightBytes size of the weights of one layer
 * @param activationBytes size of the activations of one token between two layers
 * @param kvBytesPerLayerToken size of the KV cache of one token in one layer
 */
public record ModelVersionSpec(
        Identity id,
        int layers,
        long layerWeightBytes,
        long activationBytes,
        long kvBytesPerLayerToken) {

    /**
     * Returns the range of all layers.
     *
     * @return range from 0 to the number of layers
     */
    public LayerRange allLayers() {
        return new LayerRange(0, layers);
    }
}
