package org.amaranthpick.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.ConcurrentHistogram;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestResult;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.server.upstream.HttpUpstreamClient;
import org.amaranthpick.server.upstream.UpstreamSettings;
import org.amaranthpick.tools.client.CommandClient;
import org.amaranthpick.tools.demo.DemoDaemons;
import org.amaranthpick.tools.demo.DemoFleet;
import org.amaranthpick.tools.demo.DemoPlatform;
import org.amaranthpick.tools.demo.DemoSetup;

/** What a request costs through a daemon, against a direct call to the same engine stand-ins. */
public final class DaemonOverhead implements AutoCloseable {
    private static final String DAEMON_THREADS = "amaranthpick-entry-1";
    private static final String PROMPT = "plan the week after the holiday ".repeat(60);
    private static final int SEQUENTIAL_REQUESTS = 400;
    private static final int LOAD_REQUESTS = 600;
    private static final int LOAD_STREAMS = 32;
    private static final int LOAD_TOKENS = 100;

    private final DemoPlatform mPlatform = new DemoPlatform(Duration.ZERO);
    private final DemoDaemons mDaemons = new DemoDaemons(mPlatform.store().address(), 1);
    private final CommandClient mClient = new CommandClient();
    private final HttpUpstreamClient mDirect =
            new HttpUpstreamClient(
                    mClient.worker(), mClient.scheduler(), UpstreamSettings.defaults());
    private final DemoFleet mFleet = mPlatform.fleets().get(0);
    private final Configuration mConfiguration;
    private int mRequests;

    private DaemonOverhead() {
        DemoSetup.apply(mPlatform, mClient, System.out);
        DemoSetup.awaitReady(mDaemons);
        ManifestResult loaded = ManifestLoader.load(mPlatform.manifest());
        mConfiguration = new Configuration(1, "00", ((ManifestResult.Valid) loaded).manifest());
    }

    /**
     * Prints the figures.
     *
     * @param args not used
     * @throws InterruptedException if the run is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        Logger.getLogger("").setLevel(Level.WARNING);
        try (DaemonOverhead run = new DaemonOverhead()) {
            for (int round = 1; round <= 3; round++) {
                System.out.println("round " + round);
                run.sequential();
                run.load();
            }
        }
    }

    private void sequential() {
        ConcurrentHistogram direct = new ConcurrentHistogram(3);
        ConcurrentHistogram routed = new ConcurrentHistogram(3);
        for (int i = 0; i < SEQUENTIAL_REQUESTS; i++) {
            time(direct, direct(1));
            time(routed, routed(1));
        }
        System.out.printf(
                "  one token, one at a time: direct p50 %d us p99 %d us; routed p50 %d us p99 %d us;"
                        + " ratio of p50 %.2f%n",
                direct.getValueAtPercentile(50),
                direct.getValueAtPercentile(99),
                routed.getValueAtPercentile(50),
                routed.getValueAtPercentile(99),
                (double) routed.getValueAtPercentile(50) / direct.getValueAtPercentile(50));
    }

    private void load() throws InterruptedException {
        ThreadCpu cpu = new ThreadCpu(DAEMON_THREADS);
        long cpuBeforeNs = cpu.usedNs();
        long beforeNs = System.nanoTime();
        Semaphore places = new Semaphore(LOAD_STREAMS);
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < LOAD_REQUESTS; i++) {
            places.acquire();
            CompletableFuture<Void> request = routed(LOAD_TOKENS);
            all.add(request.whenComplete((done, error) -> places.release()));
        }
        all.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - beforeNs) / 1e9;
        double cpuSeconds = (cpu.usedNs() - cpuBeforeNs) / 1e9;
        double tokens = (double) LOAD_REQUESTS * LOAD_TOKENS;
        System.out.printf(
                "  %d streams of %d tokens: %.0f tokens/s, %.2f us of daemon processor time a"
                        + " token, %.0f tokens/s per core%n",
                LOAD_STREAMS,
                LOAD_TOKENS,
                tokens / seconds,
                cpuSeconds / tokens * 1e6,
                tokens / cpuSeconds);
    }

    private static void time(ConcurrentHistogram histogram, CompletableFuture<Void> request) {
        long beforeNs = System.nanoTime();
        request.join();
        histogram.recordValue((System.nanoTime() - beforeNs) / 1_000);
    }

    private CompletableFuture<Void> routed(int tokens) {
        String body =
                "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":"
                        + tokens
                        + ",\"prompt\":\""
                        + PROMPT
                        + "\"}";
        URI daemon = mDaemons.callers(0);
        StringBuilder last = new StringBuilder();
        return mClient.stream(daemon, "/v1/completions", mFleet.credential(), body, last::append)
                .thenAccept(end -> requireWhole(last));
    }

    private static void requireWhole(StringBuilder events) {
        if (events.indexOf("[DONE]") < 0) {
            throw new IllegalStateException("a request was not answered: " + events);
        }
    }

    private CompletableFuture<Void> direct(int tokens) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        List<Hop> hops = new ArrayList<>();
        for (String name : List.of("engine-1", "engine-2")) {
            Identity engine = new Identity(mFleet.name(), ResourceKind.UPSTREAM, name);
            UpstreamSpec spec = mConfiguration.upstream(engine).orElseThrow();
            hops.add(
                    new Hop(
                            engine,
                            spec.initialHoldings().get(0).layers(),
                            new KvSource.Compute()));
        }
        GenerateCall call =
                new GenerateCall(
                        "direct-" + ++mRequests,
                        1,
                        new Identity(mFleet.name(), ResourceKind.WORKSPACE, "desk"),
                        new Chain(mFleet.modelVersion(), hops),
                        Optional.empty(),
                        PROMPT,
                        List.of(),
                        tokens,
                        5,
                        Optional.of(Duration.ofMinutes(1)));
        mDirect.generate(mConfiguration, call, new Ending(ended));
        return ended;
    }

    @Override
    public void close() {
        mDirect.close();
        mClient.close();
        mDaemons.close();
        mPlatform.close();
    }

    /** Completes when a direct stream ends whole. */
    private record Ending(CompletableFuture<Void> ended) implements TokenListener {
        @Override
        public void onSending() {}

        @Override
        public void onToken(TokenFrame frame) {}

        @Override
        public void onEnd(StreamEnd end) {
            if (end instanceof StreamEnd.Finished) {
                ended.complete(null);
            } else {
                ended.completeExceptionally(new IllegalStateException(end.toString()));
            }
        }
    }
}
