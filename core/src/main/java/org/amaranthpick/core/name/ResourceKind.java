package org.amaranthpick.core.name;

/** Kinds of named resources. Names of one kind are unique within a fleet, not across fleets. */
public enum ResourceKind {
    DOMAIN("domain"),
    HOST("host"),
    UPSTREAM("upstream"),
    MODEL_VERSION("model-version"),
    ADAPTER("adapter"),
    PIPELINE("pipeline"),
    WORKSPACE("workspace"),
    SERVICE("service");

    private final String mLabel;

    ResourceKind(String label) {
        mLabel = label;
    }

    /**
     * Returns the label used in keys, logs and messages.
     *
     * @return lower-case label without slashes
     */
    public String label() {
        return mLabel;
    }
}
