package org.amaranthpick.core.gateway;

/**
 * Memory for the bodies of the requests that a daemon holds at the same time. Answers callers that
 * send large bodies together: these would fill the heap and end the daemon for all callers, where
 * refusing some of them serves the others. Confined to one thread.
 */
public final class BodyMemory {
    /** Part of the heap for bodies; answers, control state and garbage need the others. */
    private static final int HEAP_FRACTION = 4;

    private final long mMaxBytes;
    private long mHeldBytes;

    private BodyMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Creates the memory of a daemon.
     *
     * @param maxHeapBytes size to which the daemon's heap may grow
     * @return memory that holds no bodies
     */
    public static BodyMemory ofHeap(long maxHeapBytes) {
        return new BodyMemory(maxHeapBytes / HEAP_FRACTION);
    }

    /**
     * Returns the bytes that are held.
     *
     * @return bytes of all reservations
     */
    public long heldBytes() {
        return mHeldBytes;
    }

    /**
     * Starts a reservation without bytes.
     *
     * @return reservation of one request
     */
    public Reservation open() {
        return new Reservation();
    }

    /** Memory of one request, held until it ends. */
    public final class Reservation {
        private long mBytes;
        private boolean mReleased;

        private Reservation() {}

        /**
         * Reserves further bytes.
         *
         * @param bytes 0 or more
         * @return false if there is no room for them; then none of them are reserved
         */
        public boolean add(long bytes) {
            if (mReleased || bytes > mMaxBytes - mHeldBytes) {
                return false;
            }
            mHeldBytes += bytes;
            mBytes += bytes;
            return true;
        }

        /** Releases the bytes; further calls do nothing. */
        public void release() {
            if (!mReleased) {
                mReleased = true;
                mHeldBytes -= mBytes;
            }
        }
    }
}
