package org.amaranthpick.server.store;

import com.google.common.flogger.FluentLogger;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.OptionalLong;
import org.amaranthpick.core.store.StoreRevision;

/**
 * Highest era that a response of a store has shown. A store begins a new era when it comes back
 * from a copy and gives out revisions again. Thread-safe.
 */
public final class StoreEra {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final HttpString mHeader;
    private long mCurrent;

    /**
     * Creates an instance that has seen no era.
     *
     * @param header header that names the era in the responses of the store
     */
    public StoreEra(HttpString header) {
        mHeader = header;
    }

    /**
     * Returns the highest era seen.
     *
     * @return era, 0 if no response named one
     */
    public synchronized long current() {
        return mCurrent;
    }

    /**
     * Records a response.
     *
     * @param headers headers of the response
     * @return era of the response; the highest era seen if the response names none
     */
    public synchronized long observe(HeaderMap headers) {
        OptionalLong era = parse(headers.getFirst(mHeader));
        if (era.isPresent() && era.getAsLong() > mCurrent) {
            sLogger.atInfo().log("store: era=%d before=%d", era.getAsLong(), mCurrent);
            mCurrent = era.getAsLong();
        }
        return era.orElse(mCurrent);
    }

    private static OptionalLong parse(String text) {
        try {
            long era = text == null ? -1 : Long.parseLong(text);
            return era >= 0 && era <= StoreRevision.MAX_ERA
                    ? OptionalLong.of(era)
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
