package org.amaranthpick.core.claim;

import java.io.IOException;

/** State of a claimed key. */
enum ClaimState {
    /** Granted; its request may have been sent. */
    CLAIMED(0),
    /** Its request ran to its end. */
    DONE(1),
    /** Its request may have run and its answer is lost. */
    LOST(2),
    /** Its request did not run and never will. Never stored: the key is free again. */
    RELEASED(3);

    private final int mCode;

    ClaimState(int code) {
        mCode = code;
    }

    /**
     * Returns the number that stands for the state in journals and messages.
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
        throw new IOException("claim state " + code + " is not known; update this daemon");
    }
}
