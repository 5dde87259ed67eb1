package org.amaranthpick.bench;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamStream;

/** Heap held by requests in progress, with and without tokens emitted. */
public final class RequestStateSize {
    private static final int REQUESTS = 20_000;
    private static final int PROMPT_CHARS = 2_000;

    private RequestStateSize() {}

    /**
     * Prints the bytes per request.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println("tokens emitted  heap bytes per request in progress");
        for (int tokens : new int[] {0, 100, 358}) {
            System.out.printf("%14d  %d%n", tokens, bytesPerRequest(tokens));
        }
    }

    private static long bytesPerRequest(int tokens) {
        VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
        List<RequestHandle> handles = new ArrayList<>(REQUESTS);
        RequestBench bench =
                new RequestBench(
                        scheduler,
                        new BenchUpstreams((call, listener) -> generate(call, listener, tokens)));
        String prompt = "x".repeat(PROMPT_CHARS);
        long before = usedBytes();
        for (int i = 0; i < REQUESTS; i++) {
            handles.add(bench.mRouter.submit(bench.request("r" + i, prompt, 1000), new NoSink()));
        }
        long after = usedBytes();
        if (bench.mRouter.requestsInProgress() != REQUESTS) {
            throw new IllegalStateException("requests ended early");
        }
        handles.forEach(RequestHandle::cancel);
        return (after - before) / REQUESTS;
    }

    private static UpstreamStream generate(GenerateCall call, TokenListener listener, int tokens) {
        List<LayerRange> trace = RequestBench.trace(call.chain());
        listener.onSending();
        for (int i = 0; i < tokens; i++) {
            String text = new String("token");
            listener.onToken(new TokenFrame(call.requestId(), call.attempt(), i, text, trace));
        }
        return new BenchUpstreams.NoStream();
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Drops what it gets. */
    private static final class NoSink implements AnswerSink {
        @Override
        public void onToken(int index, String text) {}

        @Override
        public void onOutcome(Outcome outcome) {}
    }
}
