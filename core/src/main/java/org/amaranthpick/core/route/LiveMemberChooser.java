package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;

/**
 * Chooses members of engine classes that accept new work, by capacity or by the prefixes that they
 * have cached.
 */
class LiveMemberChooser implements FlowPlan.MemberChooser {
    private static final int MAX_SAMPLES = 4;

    private final EngineDirectory mDirectory;
    private final ChainRequest mRequest;
    private final RandomGenerator mRandom;

    LiveMemberChooser(EngineDirectory directory, ChainRequest request, RandomGenerator random) {
        mDirectory = directory;
        mRequest = request;
        mRandom = random;
    }

    @Override
    public Optional<Engine> choose(EngineClass engineClass) {
        for (int i = 0; i < MAX_SAMPLES; i++) {
            Optional<Engine> member =
                    liveMember(engineClass, engineClass.members().sample(mRandom).id());
            if (member.isPresent()) {
                return member;
            }
        }
        List<Engine> members = engineClass.members().items();
        int start = mRandom.nextInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            Identity id = members.get((start + i) % members.size()).id();
            Optional<Engine> member = liveMember(engineClass, id);
            if (member.isPresent()) {
                return member;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a chooser that prefers members known to have the prefix of the prompt cached, then
     * the member that all daemons prefer for this prefix.
     *
     * @param prefixes index of the prefixes cached by engines
     * @param depth number of leading prompt blocks that at least one engine may have cached
     * @return chooser
     */
    LiveMemberChooser preferringPrefix(PrefixIndex prefixes, int depth) {
        List<Long> hashes = mRequest.prefixHashes();
        List<Identity> holders = depth == 0 ? List.of() : prefixes.holders(hashes.get(depth - 1));
        long first = hashes.get(0);
        LiveMemberChooser fallback = this;
        return new LiveMemberChooser(mDirectory, mRequest, mRandom) {
            @Override
            public Optional<Engine> choose(EngineClass engineClass) {
                for (Identity holder : holders) {
                    Optional<Engine> member = liveMember(engineClass, holder);
                    if (member.isPresent()) {
                        return member;
                    }
                }
                Optional<Engine> preferred =
                        liveMember(engineClass, engineClass.preferredMember(first).id());
                return preferred.isPresent() ? preferred : fallback.choose(engineClass);
            }
        };
    }

    final Optional<Engine> liveMember(EngineClass engineClass, Identity upstream) {
        if (mRequest.excludedUpstreams().contains(upstream)) {
            return Optional.empty();
        }
        Optional<Engine> engine =
                mDirectory.engine(
                        mRequest.configuration(),
                        upstream,
                        mRequest.model().id(),
                        mRequest.adapter(),
                        engineClass.layers());
        boolean matches = engine.isPresent() && engine.get().domain().equals(engineClass.domain());
        return matches ? engine : Optional.empty();
    }
}
