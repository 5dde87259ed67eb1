package org.amaranthpick.core.manifest;

/** Thrown when a value of a document cannot be converted; holds the JSON pointer of the value. */
final class InvalidValueException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String mPointer;

    InvalidValueException(String pointer, IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
        mPointer = pointer;
    }

    String pointer() {
        return mPointer;
    }

    /** Returns whether the value is a malformed name or reference. */
    boolean isNameFault() {
        return getCause() instanceof org.amaranthpick.core.name.IllegalNameException;
    }
}
