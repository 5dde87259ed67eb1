package org.amaranthpick.core.layers;

/** What a load is for, the most urgent first. */
public enum LoadPurpose {
    /** Layers that no engine holds: without them there is no chain at all. */
    MISSING_EVERYWHERE,
    /** Layers that no engine of the failure domain holds. */
    MISSING_IN_DOMAIN,
    /** Layers that other engines of the failure domain hold too. */
    COPY
}
