package org.amaranthpick.core.route;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Engines of one domain that hold the same layers and share the flow of the class in proportion to
 * their capacity.
 */
final class EngineClass {
    private final Identity mDomain;
    private final LayerRange mLayers;
    private final WeightedSampler<Engine> mMembers;
    private final long[] mMemberHashes;

    EngineClass(
            Identity domain,
            LayerRange layers,
            List<Engine> members,
            ToDoubleFunction<Engine> layerTokensPerSecond) {
        mDomain = domain;
        mLayers = layers;
        mMembers = new WeightedSampler<>(members, layerTokensPerSecond);
        mMemberHashes =
                mMembers.items().stream()
                        .mapToLong(
                                engine -> Hashing.komihash5_0().hashCharsToLong(engine.id().key()))
                        .toArray();
    }

    Identity domain() {
        return mDomain;
    }

    LayerRange layers() {
        return mLayers;
    }

    WeightedSampler<Engine> members() {
        return mMembers;
    }

    /**
     * Returns the member that every daemon prefers for a prompt prefix, by rendezvous hashing.
     * Requests with equal prefixes thus reach the same cache without coordination between daemons.
     *
     * @param prefixHash hash of the prefix
     * @return preferred member
     */
    Engine preferredMember(long prefixHash) {
        int best = 0;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < mMemberHashes.length; i++) {
            long score = mix(mMemberHashes[i] ^ prefixHash);
            if (score > bestScore) {
                bestScore = score;
                best = i;
            }
        }
        return mMembers.items().get(best);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns the total capacity of the members.
     *
     * @return tokens times layers per second
     */
    double layerTokensPerSecond() {
        return mMembers.totalWeight();
    }
}
