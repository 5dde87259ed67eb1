package org.amaranthpick.core.request;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.admit.Admission;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.explain.DecisionTrail;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.retry.RetryPolicy;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainDecision;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.route.ChainRequest;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.UpstreamClient;

/** Router with fake collaborators on virtual time. */
final class RequestFixture {
    static final Instant START = Instant.parse("2026-01-04T20:00:00Z");
    private static final Identity DOMAIN = id(ResourceKind.DOMAIN, "d");
    private static final List<String> FIRST_STAGE = List.of("a0", "a1", "a2");
    private static final List<String> SECOND_STAGE = List.of("b0", "b1", "b2");

    final VirtualScheduler mScheduler;
    Duration mPredictedFirstToken = Duration.ofMillis(30);
    final FakeUpstreams mUpstreams;
    final Invariants mInvariants;
    final DecisionTrail mTrail;
    final FakeFeedback mFeedback = new FakeFeedback();
    final FakeAdmission mAdmission = new FakeAdmission();
    final FakeRetries mRetries = new FakeRetries();
    final List<ChainRequest> mChainRequests = new ArrayList<>();
    final RequestRouter mRouter;
    boolean mNoCapacity;
    final ModelVersionSpec mModel =
            new ModelVersionSpec(id(ResourceKind.MODEL_VERSION, "m"), 8, 1, 1, 1);
    final PipelineSpec mPipeline =
            new PipelineSpec(id(ResourceKind.PIPELINE, "p"), mModel.id(), Optional.empty(), 1);
    final ServiceSpec mService =
            new ServiceSpec(
                    id(ResourceKind.SERVICE, "s"),
                    List.of(id(ResourceKind.UPSTREAM, "s0"), id(ResourceKind.UPSTREAM, "s1")),
                    List.of());
    final WorkspaceSpec mWorkspace =
            new WorkspaceSpec(
                    id(ResourceKind.WORKSPACE, "w"),
                    List.of(),
                    new WorkspaceSpec.Limits(10, 10, 10),
                    1,
                    List.of(mPipeline.id()),
                    List.of(mService.id()));
    final Configuration mConfiguration;

    RequestFixture(Claims claims) {
        this(claims, new VirtualScheduler(START));
    }

    private RequestFixture(Claims claims, VirtualScheduler scheduler) {
        this(claims, scheduler, scheduler, new FakeUpstreams(scheduler), new Invariants());
    }

    RequestFixture(
            Claims claims,
            VirtualScheduler time,
            Scheduler scheduler,
            UpstreamClient upstreams,
            Invariants invariants) {
        mScheduler = time;
        mInvariants = invariants;
        mUpstreams = upstreams instanceof FakeUpstreams fake ? fake : new FakeUpstreams(time);
        mTrail = new DecisionTrail(scheduler, 100);
        mConfiguration = new Configuration(1, "digest", manifest());
        mRouter =
                new RequestRouter(
                        new RouterDependencies(
                                this::choose,
                                mFeedback,
                                mAdmission,
                                mRetries,
                                claims,
                                upstreams,
                                new RoundRobinInstanceChooser(DOMAIN, upstream -> true),
                                new EstimatingPromptAnalyzer(),
                                scheduler,
                                mTrail,
                                mInvariants),
                        RequestSettings.defaults());
    }

    static Identity id(ResourceKind kind, String name) {
        return new Identity("f", kind, name);
    }

    ModelRequest request(String requestId, boolean idempotent, Optional<String> key) {
        return request(requestId, idempotent, key, Optional.empty());
    }

    ModelRequest request(
            String requestId,
            boolean idempotent,
            Optional<String> key,
            Optional<Instant> deadline) {
        return request(requestId, "prompt", idempotent, key, deadline);
    }

    ModelRequest request(
            String requestId,
            String prompt,
            boolean idempotent,
            Optional<String> key,
            Optional<Instant> deadline) {
        return new ModelRequest(
                requestId,
                mConfiguration,
                mWorkspace,
                mPipeline,
                prompt,
                16,
                5,
                deadline,
                idempotent,
                key);
    }

    ServiceRequest serviceRequest(String requestId, boolean idempotent, Optional<String> key) {
        ServiceCall call =
                new ServiceCall(requestId, mWorkspace.id(), "POST", "/x", Map.of(), new byte[] {1});
        return new ServiceRequest(
                mConfiguration, mWorkspace, mService, call, 5, Optional.empty(), idempotent, key);
    }

    static String fullAnswer(String requestId) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < FakeUpstreams.TOKENS; i++) {
            text.append(FakeUpstreams.text(requestId, i));
        }
        return text.toString();
    }

    private Manifest manifest() {
        List<UpstreamSpec> upstreams = new ArrayList<>();
        for (String name : List.of("a0", "a1", "a2", "b0", "b1", "b2", "s0", "s1")) {
            upstreams.add(
                    new UpstreamSpec(
                            id(ResourceKind.UPSTREAM, name),
                            name.startsWith("s")
                                    ? UpstreamSpec.Role.SERVICE
                                    : UpstreamSpec.Role.ENGINE,
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
                List.of(mService));
    }

    private ChainDecision choose(ChainRequest request) {
        mChainRequests.add(request);
        if (mNoCapacity) {
            return new ChainDecision.NoChain("no stage available", Optional.empty());
        }
        Optional<Hop> first = hop(request, FIRST_STAGE, new LayerRange(0, 4));
        Optional<Hop> second = hop(request, SECOND_STAGE, new LayerRange(4, 8));
        if (first.isEmpty() || second.isEmpty()) {
            return new ChainDecision.NoChain("no stage available", Optional.empty());
        }
        Chain chain = new Chain(mModel.id(), List.of(first.get(), second.get()));
        return new ChainDecision.Chosen(chain, mPredictedFirstToken, List.of());
    }

    private static Optional<Hop> hop(ChainRequest request, List<String> names, LayerRange layers) {
        return names.stream()
                .map(name -> id(ResourceKind.UPSTREAM, name))
                .filter(upstream -> !request.excludedUpstreams().contains(upstream))
                .findFirst()
                .map(upstream -> new Hop(upstream, layers, new KvSource.Compute()));
    }

    /** Admission that admits, refuses or leaves requests pending, and counts the permits held. */
    static final class FakeAdmission implements Admission {
        int mHeldPermits;
        Optional<AdmissionDecision.Refused> mRefusal = Optional.empty();
        boolean mLeavesPending;

        @Override
        public Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> callback) {
            if (mLeavesPending) {
                return () -> {};
            }
            if (mRefusal.isPresent()) {
                callback.accept(mRefusal.get());
                return () -> {};
            }
            mHeldPermits++;
            callback.accept(new AdmissionDecision.Admitted(new FakePermit()));
            return () -> {};
        }

        private final class FakePermit implements Permit {
            private boolean mClosed;

            @Override
            public void setUsedTokens(int tokens) {}

            @Override
            public void close() {
                if (!mClosed) {
                    mClosed = true;
                    mHeldPermits--;
                }
            }
        }
    }

    /** Retry policy that allows a number of retries, each after 10 ms. */
    static final class FakeRetries implements RetryPolicy {
        final List<Integer> mAttempts = new ArrayList<>();
        int mRetriesLeft = 4;

        @Override
        public void onRequest() {}

        @Override
        public Optional<Duration> nextBackoff(
                String requestId, int attempt, Optional<Duration> timeLeft) {
            mAttempts.add(attempt);
            return mRetriesLeft-- > 0 ? Optional.of(Duration.ofMillis(10)) : Optional.empty();
        }
    }

    /** Feedback that counts the chains in use and the failures of upstreams. */
    static final class FakeFeedback implements ChainFeedback {
        int mChainsInUse;
        final Map<Identity, Integer> mFailures = new HashMap<>();

        @Override
        public void onSent(Chain chain, int tokens) {
            mChainsInUse++;
        }

        @Override
        public void onFirstToken(Chain chain, Duration elapsed) {}

        @Override
        public void onEnded(Chain chain) {
            mChainsInUse--;
        }

        @Override
        public void onFailure(Identity upstream, String reason) {
            mFailures.merge(upstream, 1, Integer::sum);
        }
    }
}
