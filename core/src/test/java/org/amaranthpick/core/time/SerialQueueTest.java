package org.amaranthpick.core.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SerialQueueTest {
    private static final int THREADS = 4;
    private static final int EVENTS = 20_000;

    private final List<Throwable> mFailures = new ArrayList<>();
    private final SerialQueue mQueue = new SerialQueue(mFailures::add);

    @Test
    void eventsRunOneAtATimeAndInTheOrderOfEachThread() throws Exception {
        int[] counts = new int[THREADS];
        AtomicInteger running = new AtomicInteger();
        AtomicInteger overlaps = new AtomicInteger();
        AtomicInteger outOfOrder = new AtomicInteger();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<?>> postings = new ArrayList<>();
            for (int t = 0; t < THREADS; t++) {
                int thread = t;
                postings.add(
                        threads.submit(
                                () -> {
                                    for (int i = 0; i < EVENTS; i++) {
                                        int number = i;
                                        mQueue.post(
                                                () -> {
                                                    overlaps.addAndGet(running.getAndIncrement());
                                                    if (counts[thread]++ != number) {
                                                        outOfOrder.incrementAndGet();
                                                    }
                                                    running.decrementAndGet();
                                                });
                                    }
                                }));
            }
            for (Future<?> posting : postings) {
                posting.get();
            }
        } finally {
            threads.shutdownNow();
        }
        int[] total = new int[1];
        mQueue.post(() -> total[0] = counts[0] + counts[1] + counts[2] + counts[3]);
        assertEquals(THREADS * EVENTS, total[0]);
        assertEquals(0, overlaps.get());
        assertEquals(0, outOfOrder.get());
    }

    @Test
    void nestedEventRunsAfterItsPosterEvenIfThatFails() {
        List<String> order = new ArrayList<>();
        mQueue.post(
                () -> {
                    mQueue.post(() -> order.add("inner"));
                    order.add("outer");
                    throw new IllegalStateException("event failed");
                });
        assertEquals(List.of("outer", "inner"), order);
        assertEquals(1, mFailures.size());
        assertTrue(mFailures.get(0).getMessage().contains("event failed"));
    }

    /** The queue took itself to be running for good, and ran nothing more. */
    @Test
    void eventsRunAfterOneThatThrewAnError() {
        List<String> order = new ArrayList<>();
        try {
            mQueue.post(
                    () -> {
                        throw new AssertionError("event failed");
                    });
        } catch (AssertionError e) {
            order.add("thrown");
        }
        mQueue.post(() -> order.add("next"));
        assertEquals(List.of("next"), order);
        assertEquals(1, mFailures.size());
    }
}
