package org.amaranthpick.core.manifest;

/** A value of a document cannot be converted; carries the place of the value. */
final class FaultyValueException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String mPointer;

    FaultyValueException(String pointer, IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
        mPointer = pointer;
    }

    String pointer() {
        return mPointer;
    }

    /** Tells whether the fault is in a name or reference. */
    boolean isName() {
        return getCause() instanceof org.amaranthpick.core.name.IllegalNameException;
    }
}
