package org.amaranthpick.core.manifest;

import java.util.List;

/** Result of loading a manifest. */
public sealed interface ManifestResult {
    /**
     * The manifest has no fault.
     *
     * @param manifest checked manifest
     */
    record Valid(Manifest manifest) implements ManifestResult {}

    /**
     * The manifest is refused whole.
     *
     * @param faults every fault found, by position; never empty
     */
    record Refused(List<ManifestFault> faults) implements ManifestResult {
        /** Copies the list. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
