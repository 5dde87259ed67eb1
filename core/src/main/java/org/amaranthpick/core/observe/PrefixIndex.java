package org.amaranthpick.core.observe;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.name.Identity;

/**
 * Index of prompt prefixes by the engines that hold them. Entries come from cache events
 * (confirmed) and from own requests (expected). After a gap in the events of an engine all that is
 * known of it is doubtful until the engine confirms it again. Bounded; thread-safe.
 */
public final class PrefixIndex {
    private static final int MAX_HOLDERS = 8;

    private final Cache<Long, List<Holder>> mHolders;
    private final Map<Identity, Epochs> mEpochs = new ConcurrentHashMap<>();

    /** Epochs of one engine: older entries are void or doubtful. */
    private record Epochs(long now, long validFrom, long certainFrom) {
        static final Epochs FIRST = new Epochs(0, 0, 0);
    }

    /** Engine that holds a prefix. */
    private record Holder(Identity upstream, long epoch, boolean confirmed) {}

    /**
     * Prefix found at an engine.
     *
     * @param blocks leading blocks held, 0 or more
     * @param certain true if the engine itself confirmed the last of them and no event was lost
     */
    public record Match(int blocks, boolean certain) {
        /** No block is held. */
        public static final Match NONE = new Match(0, false);
    }

    /**
     * Creates an empty index.
     *
     * @param maxPrefixes prefixes kept; the least recently used are forgotten
     */
    public PrefixIndex(int maxPrefixes) {
        mHolders = Caffeine.newBuilder().maximumSize(maxPrefixes).executor(Runnable::run).build();
    }

    /**
     * Notes that an engine holds blocks.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     * @param confirmed true if the engine said so, false if a request was sent there
     */
    public void stored(Identity upstream, List<Long> hashes, boolean confirmed) {
        Holder holder = new Holder(upstream, epochs(upstream).now(), confirmed);
        for (Long hash : hashes) {
            mHolders.asMap().compute(hash, (key, before) -> added(before, holder));
        }
    }

    /**
     * Notes that an engine is about to hold blocks because a request goes there. Blocks that it is
     * known to hold stay as they are.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     */
    public void expect(Identity upstream, List<Long> hashes) {
        Match held = match(upstream, hashes, hashes.size());
        if (held.blocks() < hashes.size()) {
            stored(upstream, hashes.subList(held.blocks(), hashes.size()), false);
        }
    }

    /**
     * Notes that an engine evicted blocks.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     */
    public void evicted(Identity upstream, List<Long> hashes) {
        for (Long hash : hashes) {
            mHolders.asMap().computeIfPresent(hash, (key, before) -> removed(before, upstream));
        }
    }

    /**
     * Marks all that is known of an engine as doubtful.
     *
     * @param upstream the engine
     */
    public void doubt(Identity upstream) {
        mEpochs.merge(
                upstream,
                new Epochs(1, 0, 1),
                (old, first) -> new Epochs(old.now() + 1, old.validFrom(), old.now() + 1));
    }

    /**
     * Forgets all that is known of an engine.
     *
     * @param upstream the engine
     */
    public void clear(Identity upstream) {
        mEpochs.merge(
                upstream,
                new Epochs(1, 1, 1),
                (old, first) -> new Epochs(old.now() + 1, old.now() + 1, old.now() + 1));
    }

    /**
     * Finds the longest prefix held by an engine.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the prompt's blocks
     * @param depth blocks to look at, as told by {@link #depth}
     * @return the match
     */
    public Match match(Identity upstream, List<Long> hashes, int depth) {
        Epochs epochs = epochs(upstream);
        int low = 0;
        int high = depth;
        Holder found = null;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            Holder holder = holder(hashes.get(middle - 1), upstream, epochs);
            if (holder == null) {
                high = middle - 1;
            } else {
                found = holder;
                low = middle;
            }
        }
        if (found == null) {
            return Match.NONE;
        }
        return new Match(low, found.confirmed() && found.epoch() >= epochs.certainFrom());
    }

    /**
     * Finds how many leading blocks any engine holds.
     *
     * @param hashes chained hashes of the prompt's blocks
     * @return number of blocks, 0 or more
     */
    public int depth(List<Long> hashes) {
        int low = 0;
        int high = hashes.size();
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (mHolders.getIfPresent(hashes.get(middle - 1)) == null) {
                high = middle - 1;
            } else {
                low = middle;
            }
        }
        return low;
    }

    /**
     * Lists the engines that hold a block.
     *
     * @param hash chained hash of the block
     * @return engines, latest first
     */
    public List<Identity> holders(Long hash) {
        List<Holder> holders = mHolders.getIfPresent(hash);
        if (holders == null) {
            return List.of();
        }
        return holders.stream()
                .filter(holder -> holder.epoch() >= epochs(holder.upstream()).validFrom())
                .map(Holder::upstream)
                .toList();
    }

    /**
     * Counts the prefixes.
     *
     * @return number of entries, roughly
     */
    public long size() {
        return mHolders.estimatedSize();
    }

    private Epochs epochs(Identity upstream) {
        return mEpochs.getOrDefault(upstream, Epochs.FIRST);
    }

    private Holder holder(Long hash, Identity upstream, Epochs epochs) {
        List<Holder> holders = mHolders.getIfPresent(hash);
        if (holders == null) {
            return null;
        }
        for (Holder holder : holders) {
            if (holder.upstream().equals(upstream)) {
                return holder.epoch() >= epochs.validFrom() ? holder : null;
            }
        }
        return null;
    }

    private static List<Holder> added(List<Holder> before, Holder holder) {
        List<Holder> after = new ArrayList<>(MAX_HOLDERS);
        after.add(holder);
        if (before != null) {
            for (Holder other : before) {
                if (after.size() < MAX_HOLDERS && !other.upstream().equals(holder.upstream())) {
                    after.add(other);
                }
            }
        }
        return List.copyOf(after);
    }

    private static List<Holder> removed(List<Holder> before, Identity upstream) {
        List<Holder> after =
                before.stream().filter(holder -> !holder.upstream().equals(upstream)).toList();
        return after.isEmpty() ? null : after;
    }
}
