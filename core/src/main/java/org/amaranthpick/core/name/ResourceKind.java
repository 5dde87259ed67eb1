package org.amaranthpick.core.name;

/** Kinds of named resources. A name is unique among the resources of its kind in one fleet. */
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
     * Returns the label of this kind in keys, logs and messages.
     *
     * @return lower-case label without slashes
     */
    public String label() {
        return mLabel;
    }
}
