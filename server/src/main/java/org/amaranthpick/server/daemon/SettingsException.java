package org.amaranthpick.server.daemon;

import java.util.List;

/** Settings are missing or wrong. The message lists every fault with its remedy, one per line. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param faults all faults
     */
    public SettingsException(List<String> faults) {
        super(String.join("\n", faults));
    }
}
