package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;

/** Watch streams of the store stand-in. */
final class StoreWatches implements AutoCloseable {
    private static final long PROGRESS_MS = 500;

    /** Marks the end of a watch. */
    private static final ObjectNode END = JsonNodeFactory.instance.objectNode();

    private final MemoryObjectStore mObjects;
    private final StoreFaults mFaults;
    private final AtomicInteger mCount = new AtomicInteger();
    private volatile boolean mClosed;

    StoreWatches(MemoryObjectStore objects, StoreFaults faults) {
        mObjects = objects;
        mFaults = faults;
    }

    int count() {
        return mCount.get();
    }

    void serve(HttpServerExchange exchange, String prefix, long after) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        OutputStream out = exchange.getOutputStream();
        BlockingQueue<ObjectNode> lines = new LinkedBlockingQueue<>();
        mCount.incrementAndGet();
        try (Watch watch = mObjects.watch(prefix, after, new Queueing(lines))) {
            lines.add(progress());
            stream(lines, out, watch);
        } finally {
            mCount.decrementAndGet();
        }
    }

    private void stream(BlockingQueue<ObjectNode> lines, OutputStream out, Watch watch)
            throws IOException {
        while (!mClosed && watch != null) {
            ObjectNode line = poll(lines);
            if (line.isEmpty()) {
                return;
            }
            if (mFaults.mSilentWatches) {
                continue;
            }
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private ObjectNode poll(BlockingQueue<ObjectNode> lines) {
        ObjectNode line = null;
        try {
            line = lines.poll(PROGRESS_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return line == null ? progress() : line;
    }

    private ObjectNode progress() {
        ListResult result = Results.now(mObjects.list("\uffff"));
        long revision = result instanceof ListResult.Listed listed ? listed.revision() : 0;
        return StoreHeaders.progress(revision);
    }

    @Override
    public void close() {
        mClosed = true;
    }

    private record Queueing(BlockingQueue<ObjectNode> lines) implements WatchListener {
        @Override
        public void onWritten(StoredObject object) {
            lines.add(StoreHeaders.written(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            lines.add(StoreHeaders.deleted(key, revision));
        }

        @Override
        public void onProgress(long revision) {
            lines.add(StoreHeaders.progress(revision));
        }

        @Override
        public void onEnded(String reason) {
            lines.add(END);
        }
    }
}
