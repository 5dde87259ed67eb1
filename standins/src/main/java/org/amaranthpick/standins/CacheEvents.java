package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Cache events of an engine stand-in, kept since its start and streamed to subscribers. */
final class CacheEvents {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long KEEP_ALIVE_MS = 500;

    private final EngineFaults mFaults;
    private final List<byte[]> mLines = new ArrayList<>();
    private String mBootId = "";
    private long mBoot;

    CacheEvents(EngineFaults faults) {
        mFaults = faults;
    }

    synchronized void restart(String bootId) {
        mBootId = bootId;
        mBoot++;
        mLines.clear();
        notifyAll();
    }

    synchronized long lastSequence() {
        return mLines.size();
    }

    synchronized void add(boolean stored, List<Long> blocks) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("boot_id", mBootId);
        json.put("sequence", mLines.size() + 1L);
        json.put("stored", stored);
        ArrayNode array = json.putArray("blocks");
        blocks.forEach(array::add);
        mLines.add((json + "\n").getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    void serve(HttpServerExchange exchange) throws IOException {
        long next = Long.parseLong(exchange.getQueryParameters().get("after").getFirst());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        OutputStream out = exchange.getOutputStream();
        long boot = boot();
        while (boot == boot()) {
            byte[] line = await(next);
            if (line.length == 0) {
                out.write("{\"type\":\"alive\"}\n".getBytes(StandardCharsets.UTF_8));
            } else {
                next++;
                if (!mFaults.mCacheEventGaps || next % 2 == 0) {
                    out.write(line);
                }
            }
            out.flush();
        }
    }

    private synchronized long boot() {
        return mBoot;
    }

    /** Waits for the line at an index; empty after a while without one. */
    private synchronized byte[] await(long index) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KEEP_ALIVE_MS);
        while (index >= mLines.size() && System.nanoTime() - endNs < 0) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, endNs - System.nanoTime());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        return index < mLines.size() ? mLines.get((int) index) : new byte[0];
    }
}
