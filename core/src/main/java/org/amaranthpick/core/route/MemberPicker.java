package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.PrefixIndex;

/** Picks members of classes that take new work now, by capacity or by what they hold. */
class MemberPicker implements FlowPlan.MemberChooser {
    private static final int DRAWS = 4;

    private final EngineDirectory mDirectory;
    private final ChainRequest mRequest;
    private final RandomGenerator mRandom;

    MemberPicker(EngineDirectory directory, ChainRequest request, RandomGenerator random) {
        mDirectory = directory;
        mRequest = request;
        mRandom = random;
    }

    @Override
    public Optional<Engine> choose(EngineClass engines) {
        for (int i = 0; i < DRAWS; i++) {
            Optional<Engine> live = live(engines, engines.members().draw(mRandom).id());
            if (live.isPresent()) {
                return live;
            }
        }
        List<Engine> members = engines.members().items();
        int start = mRandom.nextInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            Identity id = members.get((start + i) % members.size()).id();
            Optional<Engine> live = live(engines, id);
            if (live.isPresent()) {
                return live;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a chooser that prefers members known to hold the prompt's prefix, then the member
     * that all daemons prefer for it.
     *
     * @param prefixes prompt prefixes held by engines
     * @param depth leading prompt blocks that any engine holds
     * @return chooser
     */
    MemberPicker preferring(PrefixIndex prefixes, int depth) {
        List<Long> hashes = mRequest.prefixHashes();
        List<Identity> holders = depth == 0 ? List.of() : prefixes.holders(hashes.get(depth - 1));
        long first = hashes.get(0);
        MemberPicker any = this;
        return new MemberPicker(mDirectory, mRequest, mRandom) {
            @Override
            public Optional<Engine> choose(EngineClass engines) {
                for (Identity holder : holders) {
                    Optional<Engine> live = live(engines, holder);
                    if (live.isPresent()) {
                        return live;
                    }
                }
                Optional<Engine> preferred = live(engines, engines.preferred(first).id());
                return preferred.isPresent() ? preferred : any.choose(engines);
            }
        };
    }

    final Optional<Engine> live(EngineClass engines, Identity upstream) {
        if (mRequest.excluded().contains(upstream)) {
            return Optional.empty();
        }
        Optional<Engine> engine =
                mDirectory.engine(
                        mRequest.configuration(),
                        upstream,
                        mRequest.model().id(),
                        mRequest.adapter(),
                        engines.layers());
        boolean fits = engine.isPresent() && engine.get().domain().equals(engines.domain());
        return fits ? engine : Optional.empty();
    }
}
