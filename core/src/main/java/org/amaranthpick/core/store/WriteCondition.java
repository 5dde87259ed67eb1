package org.amaranthpick.core.store;

/** Condition on the present state of an object, checked by the store on a write. */
public sealed interface WriteCondition {
    /** The object must not exist. */
    record Absent() implements WriteCondition {}

    /**
     * The object must have this version.
     *
     * @param version expected version
     */
    record AtVersion(long version) implements WriteCondition {}
}
