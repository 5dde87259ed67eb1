package org.amaranthpick.bench;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.Manifest;
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
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.server.upstream.HttpUpstreamClient;
import org.amaranthpick.server.upstream.UpstreamSettings;
import org.amaranthpick.standins.EngineFabric;
import org.amaranthpick.standins.EngineOptions;
import org.amaranthpick.standins.EngineStandIn;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Processor time that the upstream client spends per request and per token. */
public final class UpstreamClientCost implements AutoCloseable {
    private static final String CLIENT_THREADS = "measured-client";
    private static final Identity MODEL = id(ResourceKind.MODEL_VERSION, "m");
    private static final Identity ENGINE = id(ResourceKind.UPSTREAM, "e");
    private static final LayerRange LAYERS = new LayerRange(0, 32);
    private static final String PROMPT = "plan the week after the holiday ".repeat(60);

    private final XnioWorker mWorker;
    private final SystemScheduler mScheduler = new SystemScheduler("measured-timer");
    private final HttpUpstreamClient mClient;
    private final EngineStandIn mEngine;
    private final Configuration mConfiguration;
    private final AtomicInteger mRequests = new AtomicInteger();

    private UpstreamClientCost(Duration tokenDelay) throws IOException {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_NAME, CLIENT_THREADS)
                                        .getMap());
        mClient = new HttpUpstreamClient(mWorker, mScheduler, UpstreamSettings.defaults());
        UpstreamSpec.Holding holding = new UpstreamSpec.Holding(MODEL, LAYERS, List.of());
        mEngine =
                new EngineStandIn(
                        EngineOptions.of(ENGINE.key(), List.of(holding))
                                .withTokenDelay(tokenDelay)
                                .withoutRecord(),
                        new EngineFabric());
        mConfiguration = configuration(mEngine.address());
    }

    /**
     * Prints one row per setting.
     *
     * @param args not used
     * @throws Exception if the run fails
     */
    public static void main(String[] args) throws Exception {
        System.out.println(
                "streams  tokens  requests  cpu_us/request  cpu_us/token  p50_ms  p99_ms");
        for (int round = 0; round < 2; round++) {
            row(1, 1, 3000, Duration.ZERO);
            row(32, 1, 12000, Duration.ZERO);
            row(32, 100, 1500, Duration.ZERO);
            row(100, 200, 600, Duration.ofMillis(5));
        }
    }

    private static void row(int streams, int tokens, int requests, Duration delay)
            throws Exception {
        try (UpstreamClientCost cost = new UpstreamClientCost(delay)) {
            cost.run(streams, tokens, Math.max(streams, requests / 4));
            ThreadCpu cpu = new ThreadCpu(CLIENT_THREADS);
            long beforeNs = cpu.usedNs();
            Run run = cost.run(streams, tokens, requests);
            double usedUs = (cpu.usedNs() - beforeNs) / 1000.0;
            System.out.printf(
                    "%7d  %6d  %8d  %14.1f  %12.2f  %6.2f  %6.2f%n",
                    streams,
                    tokens,
                    requests,
                    usedUs / requests,
                    usedUs / run.mTokens.sum(),
                    run.mFirstTokenUs.getValueAtPercentile(50) / 1000.0,
                    run.mFirstTokenUs.getValueAtPercentile(99) / 1000.0);
        }
    }

    private Run run(int streams, int tokens, int requests) throws InterruptedException {
        Run run = new Run(streams, requests);
        for (int i = 0; i < requests; i++) {
            run.mPlaces.acquire();
            mClient.generate(mConfiguration, call(tokens), run.listener());
        }
        run.mEnded.await();
        if (run.mFailed.sum() > 0) {
            throw new IllegalStateException(run.mFailed.sum() + " requests failed");
        }
        return run;
    }

    private GenerateCall call(int tokens) {
        return new GenerateCall(
                "request-" + mRequests.incrementAndGet(),
                1,
                id(ResourceKind.WORKSPACE, "w"),
                new Chain(MODEL, List.of(new Hop(ENGINE, LAYERS, new KvSource.Compute()))),
                Optional.empty(),
                PROMPT,
                List.of(),
                tokens,
                5,
                Optional.empty());
    }

    private static Configuration configuration(URI address) {
        UpstreamSpec engine =
                new UpstreamSpec(
                        ENGINE,
                        UpstreamSpec.Role.ENGINE,
                        id(ResourceKind.DOMAIN, "d"),
                        Optional.empty(),
                        address,
                        Optional.empty(),
                        true,
                        false,
                        List.of());
        Manifest manifest =
                new Manifest(
                        List.of("f"),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(engine),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
        return new Configuration(1, "00", manifest);
    }

    private static Identity id(ResourceKind kind, String name) {
        return new Identity("f", kind, name);
    }

    @Override
    public void close() {
        mClient.close();
        mEngine.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    /** One timed run. */
    private static final class Run {
        private final Semaphore mPlaces;
        private final CountDownLatch mEnded;
        private final LongAdder mTokens = new LongAdder();
        private final LongAdder mFailed = new LongAdder();
        private final ConcurrentHistogram mFirstTokenUs = new ConcurrentHistogram(3);

        Run(int streams, int requests) {
            mPlaces = new Semaphore(streams);
            mEnded = new CountDownLatch(requests);
        }

        TokenListener listener() {
            long startNs = System.nanoTime();
            return new TokenListener() {
                @Override
                public void onSending() {
                    // Not measured.
                }

                @Override
                public void onToken(TokenFrame frame) {
                    mTokens.increment();
                    if (frame.index() == 0) {
                        mFirstTokenUs.recordValue((System.nanoTime() - startNs) / 1000);
                    }
                }

                @Override
                public void onEnd(StreamEnd end) {
                    if (!(end instanceof StreamEnd.Finished)) {
                        mFailed.increment();
                    }
                    mPlaces.release();
                    mEnded.countDown();
                }
            };
        }
    }
}
