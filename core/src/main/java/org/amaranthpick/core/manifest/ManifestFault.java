package org.amaranthpick.core.manifest;

/**
 * Fault found in a manifest.
 *
 * @param line line of the faulty value, from 1
 * @param column column of the faulty value, from 1
 * @param path JSON pointer of the faulty value, empty for the whole document
 * @param kind kind of the fault
 * @param message what is wrong
 * @param remedy how to correct it
 */
public record ManifestFault(
        int line, int column, String path, Kind kind, String message, String remedy) {

    /** Kinds of faults. */
    public enum Kind {
        SYNTAX,
        SCHEMA,
        NAME,
        DUPLICATE,
        REFERENCE,
        LAYERS,
        CAPACITY,
        CREDENTIAL,
        LINK,
        VALUE
    }

    /**
     * Returns the fault as one line of text.
     *
     * @return {@code line:column path kind: message; remedy}
     */
    public String text() {
        String location = path.isEmpty() ? "/" : path;
        return line + ":" + column + " " + location + " " + kind + ": " + message + "; " + remedy;
    }
}
