package org.amaranthpick.core.name;

/** A name or reference breaks the naming rules; the message says how to mend it. */
public final class IllegalNameException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message fault and remedy
     */
    public IllegalNameException(String message) {
        super(message);
    }
}
