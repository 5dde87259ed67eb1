package org.amaranthpick.core.name;

import java.text.Normalizer;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identity of a resource: fleet, kind and name, NFC-normalised. Two fleets may use the same name
 * for different resources; every derived key starts from {@link #key()}, so that they never mix.
 *
 * @param fleet name of the fleet
 * @param kind kind of the resource
 * @param name name within fleet and kind
 */
public record Identity(String fleet, ResourceKind kind, String name)
        implements Comparable<Identity> {
    /** Longest fleet or resource name, in characters. */
    public static final int MAX_NAME_LENGTH = 100;

    private static final Pattern NAME = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]*");
    private static final char SEPARATOR = '/';

    /**
     * Normalises and checks the parts.
     *
     * @throws IllegalNameException if a part is empty, too long or holds a character not allowed
     */
    public Identity {
        Objects.requireNonNull(kind, "kind");
        fleet = checkedName(fleet);
        name = checkedName(name);
    }

    /**
     * Resolves a reference as written in a manifest or request.
     *
     * @param referrerFleet fleet of the resource that holds the reference
     * @param kind kind of the resource referred to
     * @param reference {@code name} for the referrer's fleet, or {@code fleet/name}
     * @return identity referred to
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
     * Returns the key that names this resource everywhere: stores, metrics, logs, hashes, orders.
     *
     * @return {@code fleet/kind/name}
     */
    public String key() {
        return fleet + SEPARATOR + kind.label() + SEPARATOR + name;
    }

    /**
     * Returns the short form used where the kind is clear.
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

    /** Hashes the parts alike in every process, so that maps of identities iterate alike too. */
    @Override
    public int hashCode() {
        return 31 * (31 * fleet.hashCode() + kind.label().hashCode()) + name.hashCode();
    }

    @Override
    public String toString() {
        return key();
    }

    private static String checkedName(String text) {
        Objects.requireNonNull(text, "name");
        String normal = Normalizer.normalize(text, Normalizer.Form.NFC);
        if (normal.length() > MAX_NAME_LENGTH) {
            throw new IllegalNameException(
                    "name of "
                            + normal.length()
                            + " characters is too long; use at most "
                            + MAX_NAME_LENGTH);
        }
        if (!NAME.matcher(normal).matches()) {
            throw new IllegalNameException(
                    "name \""
                            + normal
                            + "\" is not allowed; start with a letter or digit, then use letters,"
                            + " digits, '.', '_' and '-'");
        }
        return normal;
    }
}
