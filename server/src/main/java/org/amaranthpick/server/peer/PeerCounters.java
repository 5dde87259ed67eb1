package org.amaranthpick.server.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the links between daemons, for metrics. */
public final class PeerCounters {
    private final Map<Event, LongAdder> mCounts = new EnumMap<>(Event.class);

    /** What is counted. */
    public enum Event {
        BYTES_SENT("bytes_sent"),
        BYTES_RECEIVED("bytes_received"),
        MESSAGES_SENT("messages_sent"),
        MESSAGES_RECEIVED("messages_received"),
        MESSAGES_DROPPED("messages_dropped"),
        MESSAGES_SKIPPED("messages_skipped"),
        CONNECTIONS_OPENED("connections_opened"),
        CONNECTIONS_FAILED("connections_failed"),
        CONNECTIONS_SILENT("connections_silent"),
        CONNECTIONS_ACCEPTED("connections_accepted"),
        STRANGERS_REFUSED("strangers_refused"),
        BAD_FRAMES("bad_frames");

        private final String mLabel;

        Event(String label) {
            mLabel = label;
        }

        /**
         * Returns the label used in metrics.
         *
         * @return lower-case label
         */
        public String label() {
            return mLabel;
        }
    }

    /** Creates counters at zero. */
    PeerCounters() {
        for (Event event : Event.values()) {
            mCounts.put(event, new LongAdder());
        }
    }

    void add(Event event, long count) {
        mCounts.get(event).add(count);
    }

    void count(Event event) {
        add(event, 1);
    }

    /**
     * Reads one counter.
     *
     * @param event what is counted
     * @return count since the start
     */
    public long get(Event event) {
        return mCounts.get(event).sum();
    }
}
