package org.amaranthpick.tools.demo;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts what a soak saw and keeps the first broken promises. Thread-safe. */
final class SoakTally {
    private static final int MAX_BREACHES = 20;

    private final Map<String, LongAdder> mCounts = new ConcurrentSkipListMap<>();
    private final ConcurrentLinkedQueue<String> mBreaches = new ConcurrentLinkedQueue<>();

    void count(String what) {
        mCounts.computeIfAbsent(what, key -> new LongAdder()).increment();
    }

    void breach(String text) {
        count("breaches");
        if (mBreaches.size() < MAX_BREACHES) {
            mBreaches.add(text);
        }
    }

    boolean clean() {
        return mBreaches.isEmpty();
    }

    Iterable<String> breaches() {
        return mBreaches;
    }

    Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>();
        mCounts.forEach((what, count) -> counts.put(what, count.sum()));
        return counts;
    }
}
