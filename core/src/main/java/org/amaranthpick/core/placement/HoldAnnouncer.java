package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;

/**
 * Routing holds that one control shard's owner sets. Every change goes to the daemons of its own
 * domain and to a few of each other domain, which pass it on; unchanged holds are repeated, fast at
 * first. Guarded by the shard's lock.
 */
final class HoldAnnouncer {
    private static final int RELAYS_PER_DOMAIN = 2;
    private static final int FAST_REPEATS = 3;

    private final Identity mShard;
    private final PlacementContext mContext;
    private final HoldTable mTable;
    private final Map<Identity, Hold> mHolds = new TreeMap<>();
    private long mFence;
    private long mSequence;
    private long mLastToldNs;
    private int mRepeats;
    private boolean mChanged;

    private record Hold(Set<Identity> modelVersions, long sinceNs) {}

    HoldAnnouncer(Identity shard, PlacementContext context, HoldTable table) {
        mShard = shard;
        mContext = context;
        mTable = table;
    }

    /** Starts anew under a fencing number, without holds. */
    void start(long fence) {
        mFence = fence;
        mSequence = 0;
        mHolds.clear();
        mChanged = true;
    }

    /** Forgets the holds without a word; they expire or the next owner replaces them. */
    void stop() {
        mHolds.clear();
        mChanged = false;
        mRepeats = FAST_REPEATS;
    }

    /** Holds model versions of an engine back from routing. */
    void set(Identity engine, Set<Identity> modelVersions) {
        long nowNs = mContext.scheduler().monotonicNs();
        mHolds.put(engine, new Hold(Set.copyOf(modelVersions), nowNs));
        mChanged = true;
    }

    /** Lets an engine be routed to again. */
    void clear(Identity engine) {
        mChanged |= mHolds.remove(engine) != null;
    }

    /** Returns the engines held back. */
    Set<Identity> held() {
        return Set.copyOf(mHolds.keySet());
    }

    /** Returns the engines held back for a model version. */
    Set<Identity> held(Identity modelVersion) {
        Set<Identity> held = new HashSet<>();
        mHolds.forEach(
                (id, hold) -> {
                    if (hold.modelVersions().contains(modelVersion)) {
                        held.add(id);
                    }
                });
        return held;
    }

    /** Tells whether an engine is held back for all given model versions. */
    boolean holds(Identity engine, Set<Identity> modelVersions) {
        Hold hold = mHolds.get(engine);
        return hold != null && hold.modelVersions().containsAll(modelVersions);
    }

    /** Returns the time since an engine was held back, in nanoseconds, if it is. */
    Optional<Long> ageNs(Identity engine) {
        long nowNs = mContext.scheduler().monotonicNs();
        return Optional.ofNullable(mHolds.get(engine)).map(hold -> nowNs - hold.sinceNs());
    }

    /** Announces what changed, and repeats what did not. */
    void step() {
        long nowNs = mContext.scheduler().monotonicNs();
        PlacementSettings settings = mContext.settings();
        long sinceNs = nowNs - mLastToldNs;
        boolean fast = mRepeats < FAST_REPEATS && sinceNs >= settings.holdSpread().toNanos() / 4;
        boolean refresh = !mHolds.isEmpty() && sinceNs >= settings.holdRefresh().toNanos();
        if (!mChanged && !fast && !refresh) {
            return;
        }
        mRepeats = mChanged ? 0 : mRepeats + 1;
        mChanged = false;
        mLastToldNs = nowNs;
        tell();
    }

    private void tell() {
        mSequence++;
        mTable.take(notice(false));
        Identity self = mContext.members().self().host();
        Map<Identity, List<Member>> others = new HashMap<>();
        for (Member member : mContext.members().members()) {
            if (member.host().equals(self)) {
                continue;
            }
            if (member.domain().equals(mContext.members().self().domain())) {
                mContext.peers().send(member.host(), notice(false));
            } else {
                others.computeIfAbsent(member.domain(), d -> new ArrayList<>()).add(member);
            }
        }
        for (List<Member> domain : others.values()) {
            for (Member relay : Rendezvous.rank(mShard.key(), domain, RELAYS_PER_DOMAIN)) {
                mContext.peers().send(relay.host(), notice(true));
            }
        }
    }

    private PlacementMessage.HoldNotice notice(boolean relay) {
        List<PlacementMessage.Held> holds = new ArrayList<>();
        mHolds.forEach(
                (id, hold) -> holds.add(new PlacementMessage.Held(id, hold.modelVersions())));
        return new PlacementMessage.HoldNotice(mShard, mFence, mSequence, relay, holds);
    }
}
