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

/** Feeds what became of chains to own load, learnt delays, prefixes and ejection. */
final class ChainLearning implements ChainFeedback {
    private static final int MAX_REMEMBERED = 16_384;

    private final Routing.Context mContext;
    private final EngineDirectory mDirectory;
    private final OwnLoad mOwnLoad;
    private final DelayEstimator mDelays;
    private final PrefixIndex mPrefixes;
    private final OutlierEjection mEjection;
    private final Cache<Chain, Remembered> mRemembered =
            Caffeine.newBuilder()
                    .weakKeys()
                    .maximumSize(MAX_REMEMBERED)
                    .executor(Runnable::run)
                    .build();

    /** What was predicted of a chosen chain. */
    private record Remembered(List<Step> steps, long firstTokenNs, List<Long> prefixHashes) {}

    ChainLearning(
            Routing.Context context,
            EngineDirectory directory,
            OwnLoad ownLoad,
            DelayEstimator delays,
            PrefixIndex prefixes,
            OutlierEjection ejection) {
        mContext = context;
        mDirectory = directory;
        mOwnLoad = ownLoad;
        mDelays = delays;
        mPrefixes = prefixes;
        mEjection = ejection;
    }

    PrefixIndex prefixes() {
        return mPrefixes;
    }

    /**
     * Remembers the prediction of a chosen chain.
     *
     * @param chain the chain
     * @param steps its parts
     * @param firstTokenNs predicted time to the first token
     * @param prefixHashes prompt blocks that its engines will hold
     */
    void remember(Chain chain, List<Step> steps, long firstTokenNs, List<Long> prefixHashes) {
        mRemembered.put(chain, new Remembered(steps, firstTokenNs, prefixHashes));
    }

    /**
     * Finds the live engines of a chain.
     *
     * @param request what the chain is wanted for
     * @param chain the chain
     * @return its parts, empty if one engine takes no work any more
     */
    Optional<List<Step>> steps(ChainRequest request, Chain chain) {
        List<Step> steps = new ArrayList<>();
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
            steps.add(new Step(engine.get(), layers));
        }
        return Optional.of(steps);
    }

    @Override
    public void onSent(Chain chain, int tokens) {
        mOwnLoad.onSent(chain, tokens);
        Remembered remembered = mRemembered.getIfPresent(chain);
        if (remembered != null && !remembered.prefixHashes().isEmpty()) {
            for (Hop hop : chain.hops()) {
                mPrefixes.expect(hop.upstream(), remembered.prefixHashes());
            }
        }
    }

    @Override
    public void onFirstToken(Chain chain, Duration elapsed) {
        mOwnLoad.onFirstToken(chain);
        Remembered remembered = mRemembered.getIfPresent(chain);
        if (remembered != null) {
            mDelays.observe(
                    mContext.domain(),
                    remembered.steps(),
                    remembered.firstTokenNs(),
                    elapsed.toNanos());
        }
        chain.hops().forEach(hop -> mEjection.onSuccess(hop.upstream()));
    }

    @Override
    public void onEnded(Chain chain) {
        mOwnLoad.onEnded(chain);
    }

    @Override
    public void onFailure(Identity upstream, String reason) {
        mEjection.onFailure(upstream, reason);
    }
}
