package org.amaranthpick.core.name;

/**
 * Thrown when a name or reference violates the naming rules; the message says how to correct it.
 */
public final class IllegalNameException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong and how to correct it
     */
    public IllegalNameException(String message) {
        super(message);
    }
}
