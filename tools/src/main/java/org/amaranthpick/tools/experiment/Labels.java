package org.amaranthpick.tools.experiment;

import java.util.Locale;

/** Names of constants for commands and reports. */
final class Labels {
    private Labels() {}

    /** Returns the words of a constant's name, joined by hyphens. */
    static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
