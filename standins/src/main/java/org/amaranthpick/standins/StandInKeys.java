package org.amaranthpick.standins;

import java.util.Arrays;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Reads identities from their keys. */
final class StandInKeys {
    private StandInKeys() {}

    static Identity parse(String key) {
        String[] parts = key.split("/", -1);
        ResourceKind kind =
                Arrays.stream(ResourceKind.values())
                        .filter(k -> k.label().equals(parts[1]))
                        .findFirst()
                        .orElseThrow();
        return new Identity(parts[0], kind, parts[2]);
    }
}
