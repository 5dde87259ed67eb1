package org.amaranthpick.core.observe;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.name.Identity;

/**
 * Index from prompt prefixes to the engines that hold them. Entries come from cache events
 * (confirmed) and from requests that this daemon sent (expected). A gap in the events of an engine
 * makes its entries uncertain until the engine confirms them again. The index is bounded and
 * thread-safe.
 */
public final class PrefixIndex {
    private static final int MAX_HOLDERS = 8;

    private final Cache<Long, List<Holder>> mHoldersByHash;
    private final Map<Identity, Epochs> mEpochs = new ConcurrentHashMap<>();

    /**
     * Epochs of one engine.
     *
     * @param now epoch of new entries
     * @param validFrom entries of earlier epochs are invalid
     * @param certainFrom entries of earlier epochs are uncertain
     */
    private record Epochs(long now, long validFrom, long certainFrom) {
        static final Epochs FIRST = new Epochs(0, 0, 0);
    }

    /** Engine that holds a prefix. */
    private record Holder(Identity upstream, long epoch, boolean confirmed) {}

    /**
     * Longest prefix of a prompt that an engine holds.
     *
     * @param blocks number of leading blocks held, 0 or more
     * @param certain true if the engine itself confirmed the last of them and no event was lost
     */
    public record Match(int blocks, boolean certain) {
        /** No block is held. */
        public static final Match NONE = new Match(0, false);
    }

    /**
     * Creates an empty index.
     *
     * @param maxPrefixes maximum number of prefixes; the least recently used are evicted
     */
    public PrefixIndex(int maxPrefixes) {
        mHoldersByHash =
                Caffeine.newBuilder().maximumSize(maxPrefixes).executor(Runnable::run).build();
    }

    /**
     * Records that an engine holds blocks.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     * @param confirmed true if the engine reported it, false if it is expected from a request
     */
    public void recordStored(Identity upstream, List<Long> hashes, boolean confirmed) {
        Holder holder = new Holder(upstream, epochsOf(upstream).now(), confirmed);
        for (Long hash : hashes) {
            mHoldersByHash.asMap().compute(hash, (key, before) -> withHolder(before, holder));
        }
    }

    /**
     * Records that an engine is expected to hold blocks because a request was sent to it. Blocks
     * that it is known to hold are unchanged.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     */
    public void recordExpected(Identity upstream, List<Long> hashes) {
        Match held = match(upstream, hashes, hashes.size());
        if (held.blocks() < hashes.size()) {
            recordStored(upstream, hashes.subList(held.blocks(), hashes.size()), false);
        }
    }

    /**
     * Records that an engine evicted blocks.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the blocks
     */
    public void recordEvicted(Identity upstream, List<Long> hashes) {
        for (Long hash : hashes) {
            mHoldersByHash
                    .asMap()
                    .computeIfPresent(hash, (key, before) -> withoutHolder(before, upstream));
        }
    }

    /**
     * Marks all entries of an engine as uncertain.
     *
     * @param upstream the engine
     */
    public void markUncertain(Identity upstream) {
        mEpochs.merge(
                upstream,
                new Epochs(1, 0, 1),
                (old, first) -> new Epochs(old.now() + 1, old.validFrom(), old.now() + 1));
    }

    /**
     * Invalidates all entries of an engine.
     *
     * @param upstream the engine
     */
    public void invalidate(Identity upstream) {
        mEpochs.merge(
                upstream,
                new Epochs(1, 1, 1),
                (old, first) -> new Epochs(old.now() + 1, old.now() + 1, old.now() + 1));
    }

    /**
     * Finds the longest prefix that an engine holds.
     *
     * @param upstream the engine
     * @param hashes chained hashes of the prompt's blocks
     * @param depth number of leading blocks to search, see {@link #depth}
     * @return the match
     */
    public Match match(Identity upstream, List<Long> hashes, int depth) {
        Epochs epochs = epochsOf(upstream);
        int low = 0;
        int high = depth;
        Holder found = null;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            Holder holder = validHolder(hashes.get(middle - 1), upstream, epochs);
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
     * Returns the number of leading blocks of a prompt that the index has for any engine.
     *
     * @param hashes chained hashes of the prompt's blocks
     * @return number of blocks, 0 or more
     */
    public int depth(List<Long> hashes) {
        int low = 0;
        int high = hashes.size();
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (mHoldersByHash.getIfPresent(hashes.get(middle - 1)) == null) {
                high = middle - 1;
            } else {
                low = middle;
            }
        }
        return low;
    }

    /**
     * Returns the engines that hold a block.
     *
     * @param hash chained hash of the block
     * @return engines, most recently recorded first
     */
    public List<Identity> holders(Long hash) {
        List<Holder> holders = mHoldersByHash.getIfPresent(hash);
        if (holders == null) {
            return List.of();
        }
        return holders.stream()
                .filter(holder -> holder.epoch() >= epochsOf(holder.upstream()).validFrom())
                .map(Holder::upstream)
                .toList();
    }

    /**
     * Returns the approximate number of prefixes in the index.
     *
     * @return approximate number of prefixes
     */
    public long size() {
        return mHoldersByHash.estimatedSize();
    }

    private Epochs epochsOf(Identity upstream) {
        return mEpochs.getOrDefault(upstream, Epochs.FIRST);
    }

    private Holder validHolder(Long hash, Identity upstream, Epochs epochs) {
        List<Holder> holders = mHoldersByHash.getIfPresent(hash);
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

    private static List<Holder> withHolder(List<Holder> before, Holder holder) {
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

    private static List<Holder> withoutHolder(List<Holder> before, Identity upstream) {
        List<Holder> after =
                before.stream().filter(holder -> !holder.upstream().equals(upstream)).toList();
        return after.isEmpty() ? null : after;
    }
}
