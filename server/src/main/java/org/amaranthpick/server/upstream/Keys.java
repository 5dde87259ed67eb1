package org.amaranthpick.server.upstream;

import java.util.Arrays;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.IllegalNameException;
import org.amaranthpick.core.name.ResourceKind;

/** Reads identities from their keys. */
final class Keys {
    private static final int PARTS = 3;

    private Keys() {}

    /**
     * Parses a key.
     *
     * @param key {@code fleet/kind/name}
     * @return identity, empty if the text is no key
     */
    static Optional<Identity> parse(String key) {
        String[] parts = key.split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Arrays.stream(ResourceKind.values())
                    .filter(kind -> kind.label().equals(parts[1]))
                    .findFirst()
                    .map(kind -> new Identity(parts[0], kind, parts[2]));
        } catch (IllegalNameException e) {
            return Optional.empty();
        }
    }
}
