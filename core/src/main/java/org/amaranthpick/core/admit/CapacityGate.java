package org.amaranthpick.core.admit;

/** Bounds the requests that this daemon has in progress per group of upstreams. Thread-safe. */
public interface CapacityGate {
    /**
     * Takes a place in a group.
     *
     * @param group key of the model version or service
     * @param priority 0 (lowest) to 9
     * @return false if the request should wait
     */
    boolean tryEnter(String group, int priority);

    /**
     * Gives a place back.
     *
     * @param group key of the model version or service
     */
    void leave(String group);
}
