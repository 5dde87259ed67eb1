package org.amaranthpick.core.manifest;

import java.util.List;

/** Result of loading a manifest. */
public sealed interface ManifestResult {
    /**
     * The manifest is valid.
     *
     * @param manifest validated manifest
     */
    record Valid(Manifest manifest) implements ManifestResult {}

    /**
     * The manifest has faults and is rejected as a whole.
     *
     * @param faults all faults found, ordered by position; never empty
     */
    record Invalid(List<ManifestFault> faults) implements ManifestResult {
        /** Copies the list. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
