package org.amaranthpick.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.amaranthpick.core.admit.Admission;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.claim.ClaimTicket;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.EstimatingPromptAnalyzer;
import org.amaranthpick.core.request.ModelRequest;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.core.request.RequestSettings;
import org.amaranthpick.core.request.RoundRobinInstanceChooser;
import org.amaranthpick.core.request.RouterDependencies;
import org.amaranthpick.core.retry.RetryPolicy;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainDecision;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.route.ChainRequest;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.UpstreamClient;

/** Router over the least that it needs, for measuring its own cost. */
final class RequestBench {
    static final int LAYERS = 48;
    static final Duration PREDICTED_FIRST_TOKEN = Duration.ofMillis(400);
    private static final int STAGES = 4;
    private static final int REPLICAS = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);
    private static final Identity DOMAIN = id(ResourceKind.DOMAIN, "d");

    final RequestRouter mRouter;
    private final Configuration mConfiguration;
    private final ModelVersionSpec mModel =
            new ModelVersionSpec(id(ResourceKind.MODEL_VERSION, "m"), LAYERS, 1, 1, 1);
    private final PipelineSpec mPipeline =
            new PipelineSpec(id(ResourceKind.PIPELINE, "p"), mModel.id(), Optional.empty(), 1);
    private final WorkspaceSpec mWorkspace =
            new WorkspaceSpec(
                    id(ResourceKind.WORKSPACE, "w"),
                    List.of(),
                    new WorkspaceSpec.Limits(10, 10, 10),
                    1,
                    List.of(mPipeline.id()),
                    List.of());

    RequestBench(VirtualScheduler scheduler, UpstreamClient upstreams) {
        mConfiguration = new Configuration(1, "digest", manifest());
        RouterDependencies dependencies =
                new RouterDependencies(
                        this::choose,
                        new NoFeedback(),
                        new AdmitAll(),
                        new RetryAlways(),
                        new NoClaims(),
                        upstreams,
                        new RoundRobinInstanceChooser(DOMAIN, upstream -> true),
                        new EstimatingPromptAnalyzer(),
                        scheduler,
                        (kind, subject, text) -> {},
                        new Invariants());
        mRouter = new RequestRouter(dependencies, RequestSettings.defaults());
    }

    static Identity id(ResourceKind kind, String name) {
        return new Identity("f", kind, name);
    }

    ModelRequest request(String requestId, String prompt, int maxTokens) {
        return new ModelRequest(
                requestId,
                mConfiguration,
                mWorkspace,
                mPipeline,
                prompt,
                maxTokens,
                5,
                Optional.empty(),
                true,
                Optional.empty());
    }

    static List<LayerRange> trace(Chain chain) {
        return chain.hops().stream().map(Hop::layers).toList();
    }

    private ChainDecision choose(ChainRequest request) {
        List<Hop> hops = new ArrayList<>(STAGES);
        int size = LAYERS / STAGES;
        for (int stage = 0; stage < STAGES; stage++) {
            LayerRange layers = new LayerRange(stage * size, (stage + 1) * size);
            hops.add(new Hop(free(stage, request), layers, new KvSource.Compute()));
        }
        return new ChainDecision.Chosen(
                new Chain(mModel.id(), hops), PREDICTED_FIRST_TOKEN, List.of());
    }

    private static Identity free(int stage, ChainRequest request) {
        for (int replica = 0; replica < REPLICAS; replica++) {
            Identity upstream = id(ResourceKind.UPSTREAM, "s" + stage + "-" + replica);
            if (!request.excludedUpstreams().contains(upstream)) {
                return upstream;
            }
        }
        throw new IllegalStateException("no replica of stage " + stage + " is left");
    }

    private Manifest manifest() {
        List<UpstreamSpec> upstreams = new ArrayList<>();
        for (int i = 0; i < STAGES * REPLICAS; i++) {
            upstreams.add(
                    new UpstreamSpec(
                            id(ResourceKind.UPSTREAM, "s" + i / REPLICAS + "-" + i % REPLICAS),
                            UpstreamSpec.Role.ENGINE,
                            DOMAIN,
                            Optional.empty(),
                            URI.create("http://127.0.0.1:1"),
                            Optional.empty(),
                            true,
                            true,
                            List.of()));
        }
        return new Manifest(
                List.of("f"),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                upstreams,
                List.of(mModel),
                List.of(),
                List.of(mPipeline),
                List.of(mWorkspace),
                List.of());
    }

    /** Admits at once. */
    private static final class AdmitAll implements Admission {
        @Override
        public Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> then) {
            then.accept(new AdmissionDecision.Admitted(new NoPermit()));
            return () -> {};
        }
    }

    /** Permit of nothing. */
    private static final class NoPermit implements Permit {
        @Override
        public void setUsedTokens(int tokens) {}

        @Override
        public void close() {}
    }

    /** Allows every retry after a fixed delay. */
    private static final class RetryAlways implements RetryPolicy {
        @Override
        public void onRequest() {}

        @Override
        public Optional<Duration> nextBackoff(
                String requestId, int attempt, Optional<Duration> timeLeft) {
            return Optional.of(RETRY_DELAY);
        }
    }

    /** Listens to nothing. */
    private static final class NoFeedback implements ChainFeedback {
        @Override
        public void onSent(Chain chain, int tokens) {}

        @Override
        public void onFirstToken(Chain chain, Duration elapsed) {}

        @Override
        public void onEnded(Chain chain) {}

        @Override
        public void onFailure(Identity upstream, String reason) {}
    }

    /** Grants nothing; the measured requests have no key. */
    private static final class NoClaims implements Claims {
        @Override
        public CompletionStage<ClaimResult> claim(ClaimKey key, String id, String digest) {
            return CompletableFuture.completedFuture(new ClaimResult.Unavailable("none"));
        }

        @Override
        public CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Void> markLost(ClaimTicket ticket) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Void> release(ClaimTicket ticket) {
            return CompletableFuture.completedFuture(null);
        }
    }
}
