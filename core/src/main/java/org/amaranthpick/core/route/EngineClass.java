package org.amaranthpick.core.route;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/** Engines of one domain that hold the same layers. They share flow by capacity. */
final class EngineClass {
    private final Identity mDomain;
    private final LayerRange mLayers;
    private final Weights<Engine> mMembers;
    private final long[] mHashes;

    EngineClass(
            Identity domain,
            LayerRange layers,
            List<Engine> members,
            ToDoubleFunction<Engine> layerTokensPerSecond) {
        mDomain = domain;
        mLayers = layers;
        mMembers = new Weights<>(members, layerTokensPerSecond);
        mHashes =
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

    Weights<Engine> members() {
        return mMembers;
    }

    /**
     * Finds the member that every daemon prefers for a prompt prefix (rendezvous), so that equal
     * prefixes meet in one cache without any message.
     *
     * @param prefixHash hash of the prefix
     * @return the member
     */
    Engine preferred(long prefixHash) {
        int best = 0;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < mHashes.length; i++) {
            long score = mix(mHashes[i] ^ prefixHash);
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
     * Returns the capacity of all members.
     *
     * @return tokens times layers per second
     */
    double layerTokensPerSecond() {
        return mMembers.total();
    }
}
