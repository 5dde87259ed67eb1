package org.amaranthpick.core.admit;

/**
 * Bounds the number of requests that this daemon has in progress per group of upstreams.
 * Implementations are thread-safe.
 */
public interface CapacityGate {
    /**
     * Acquires capacity for one request of a group.
     *
     * @param group key of the model version or service
     * @param priority 0 (lowest) to 9
     * @return true if the request may start, false if it has to wait
     */
    boolean tryAcquire(String group, int priority);

    /**
     * Releases the capacity of one request of a group.
     *
     * @param group key of the model version or service
     */
    void release(String group);
}
