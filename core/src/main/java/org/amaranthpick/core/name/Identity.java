package org.amaranthpick.core.name;

import java.text.Normalizer;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identity of a resource: fleet, kind and name, NFC-normalised. Different fleets may use the same
 * name for different resources. Every derived key starts with {@link #key()}, which contains the
 * fleet, so that keys of different fleets never collide.
 *
 * @param fleet name of the fleet
 * @param kind kind of the resource
 * @param name name, unique within fleet and kind
 */
public record Identity(String fleet, ResourceKind kind, String name)
        implements Comparable<Identity> {
    /** Maximum length of a fleet or resource name, in characters. */
    public static final int MAX_NAME_LENGTH = 100;

    private static final Pattern NAME = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]*");
    private static final char SEPARATOR = '/';

    /**
     * Normalises and validates fleet and name.
     *
     * @throws IllegalNameException if fleet or name is empty, too long or contains a character that
     *     is not allowed
     */
    public Identity {
        Objects.requireNonNull(kind, "kind");
        fleet = normalisedName(fleet);
        name = normalisedName(name);
    }

    /**
     * Resolves a reference from a manifest or request.
     *
     * @param referrerFleet fleet of the resource that contains the reference
     * @param kind kind of the referenced resource
     * @param reference {@code name} for the referrer's fleet, or {@code fleet/name}
     * @return identity of the referenced resource
     * @throws IllegalNameException if the reference is malformed
     */
    public static Identity resolve(String referrerFleet, ResourceKind kind, String reference) {
        int slash = reference.indexOf(SEPARATOR);
        if (slash < 0) {
            return new Identity(referrerFleet, kind, reference);
        }
        return new Identity(reference.substring(0, slash), kind, reference.substring(slash + 1));
    }

    /**
     * Returns the key of this resource in the store, metrics, logs, hash inputs and orders.
     *
     * @return {@code fleet/kind/name}
     */
    public String key() {
        return fleet + SEPARATOR + kind.label() + SEPARATOR + name;
    }

    /**
     * Returns the short form for contexts that imply the kind.
     *
     * @return {@code fleet/name}
     */
    public String qualifiedName() {
        return fleet + SEPARATOR + name;
    }

    @Override
    public int compareTo(Identity other) {
        return key().compareTo(other.key());
    }

    /**
     * Returns the same hash in every process, so that hash maps of identities iterate in the same
     * order everywhere. The label replaces the enum constant, whose hash differs by process.
     */
    @Override
    public int hashCode() {
        return 31 * (31 * fleet.hashCode() + kind.label().hashCode()) + name.hashCode();
    }

    @Override
    public String toString() {
        return key();
    }

    private static String normalisedName(String text) {
        Objects.requireNonNull(text, "name");
        String normalised = Normalizer.normalize(text, Normalizer.Form.NFC);
        if (normalised.length() > MAX_NAME_LENGTH) {
            throw new IllegalNameException(
                    "name of "
                            + normalised.length()
                            + " characters is too long; use at most "
                            + MAX_NAME_LENGTH);
        }
        if (!NAME.matcher(normalised).matches()) {
            throw new IllegalNameException(
                    "name \""
                            + normalised
                            + "\" is not allowed; start with a letter or digit, then use letters,"
                            + " digits, '.', '_' and '-'");
        }
        return normalised;
    }
}
