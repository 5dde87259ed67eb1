package org.amaranthpick.core.claim;

import java.io.IOException;

/** State of the claim of a key. */
enum ClaimState {
    /** Granted; its request may have been sent. */
    CLAIMED(0),
    /** Its request completed. */
    DONE(1),
    /** Its request may have run; its answer is not stored. */
    LOST(2),
    /**
     * Its request did not run and will not. No entry has this state, since the key is free again.
     */
    RELEASED(3);

    private final int mCode;

    ClaimState(int code) {
        mCode = code;
    }

    /**
     * Returns the code of the state in journals and messages.
     *
     * @return 0 or more
     */
    int code() {
        return mCode;
    }

    static ClaimState ofCode(int code) throws IOException {
        for (ClaimState state : values()) {
            if (state.mCode == code) {
                return state;
            }
        }
        throw new IOException("claim state " + code + " is not supported; update this daemon");
    }
}
