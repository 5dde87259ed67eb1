package org.amaranthpick.core.route;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.retry.OutlierEjection;

/**
 * Records the progress of attempts in the in-flight load, the learnt delays, the prefix index and
 * the outlier ejection.
 */
final class ChainFeedbackRecorder implements ChainFeedback {
    private static final int MAX_PREDICTIONS = 16_384;

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final InFlightLoad mInFlight;
    private final DelayEstimator mDelays;
    private final PrefixIndex mPrefixes;
    private final OutlierEjection mEjection;
    private final Cache<Chain, Prediction> mPredictions =
            Caffeine.newBuilder()
                    .weakKeys()
                    .maximumSize(MAX_PREDICTIONS)
                    .executor(Runnable::run)
                    .build();

    /** Prediction made when a chain was chosen. */
    private record Prediction(List<ChainStep> steps, long firstTokenNs, List<Long> prefixHashes) {}

    ChainFeedbackRecorder(
            Routing.Context context,
            EngineDirectory directory,
            InFlightLoad inFlight,
            DelayEstimator delays,
            PrefixIndex prefixes,
            OutlierEjection ejection) {
        mContext = context;
        mDirectory = directory;
        mInFlight = inFlight;
        mDelays = delays;
        mPrefixes = prefixes;
        mEjection = ejection;
    }

    PrefixIndex prefixes() {
        return mPrefixes;
    }

    /**
     * Stores the prediction of a chosen chain for as long as the chain is in use.
     *
     * @param chain the chain
     * @param steps engines and layers of the chain
     * @param firstTokenNs predicted time to the first token
     * @param prefixHashes hashes of the prompt blocks that its engines will cache
     */
    void recordPrediction(
            Chain chain, List<ChainStep> steps, long firstTokenNs, List<Long> prefixHashes) {
        mPredictions.put(chain, new Prediction(steps, firstTokenNs, prefixHashes));
    }

    /**
     * Resolves the hops of a chain to engines that accept work.
     *
     * @param request request that the chain was chosen for
     * @param chain the chain
     * @return engines and layers, empty if an engine no longer accepts work
     */
    Optional<List<ChainStep>> liveSteps(ChainRequest request, Chain chain) {
        List<ChainStep> steps = new ArrayList<>();
        for (Hop hop : chain.hops()) {
            LayerRange layers = hop.layers();
            Optional<Engine> engine =
                    mDirectory.engine(
                            request.configuration(),
                            hop.upstream(),
                            request.model().id(),
                            request.adapter(),
                            layers);
            if (engine.isEmpty()) {
                return Optional.empty();
            }
            steps.add(new ChainStep(engine.get(), layers));
        }
        return Optional.of(steps);
    }

    @Override
    public void onSent(Chain chain, int tokens) {
        mInFlight.onSent(chain, tokens);
        Prediction prediction = mPredictions.getIfPresent(chain);
        if (prediction != null && !prediction.prefixHashes().isEmpty()) {
            for (Hop hop : chain.hops()) {
                mPrefixes.recordExpected(hop.upstream(), prediction.prefixHashes());
            }
        }
    }

    @Override
    public void onFirstToken(Chain chain, Duration elapsed) {
        mInFlight.onFirstToken(chain);
        Prediction prediction = mPredictions.getIfPresent(chain);
        if (prediction != null) {
            mDelays.recordFirstToken(
                    mContext.domain(),
                    prediction.steps(),
                    prediction.firstTokenNs(),
                    elapsed.toNanos());
        }
        chain.hops().forEach(hop -> mEjection.onSuccess(hop.upstream()));
    }

    @Override
    public void onEnded(Chain chain) {
        mInFlight.onEnded(chain);
    }

    @Override
    public void onFailure(Identity upstream, String reason) {
        mEjection.onFailure(upstream, reason);
    }
}
