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
 * Sets and announces the routing holds of one control shard. Every change is sent to the daemons of
 * the owner's domain and to a few daemons of each other domain, which relay it. Unchanged holds are
 * announced again, at first at short intervals. Guarded by the shard's lock.
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
    private long mLastAnnouncedNs;
    private int mRepeats;
    private boolean mChanged;

    private record Hold(Set<Identity> modelVersions, long sinceNs) {}

    HoldAnnouncer(Identity shard, PlacementContext context, HoldTable table) {
        mShard = shard;
        mContext = context;
        mTable = table;
    }

    /** Restarts without holds under a new fencing number. */
    void reset(long fence) {
        mFence = fence;
        mSequence = 0;
        mHolds.clear();
        mChanged = true;
    }

    /** Discards the holds without an announcement; they expire or the next owner replaces them. */
    void stop() {
        mHolds.clear();
        mChanged = false;
        mRepeats = FAST_REPEATS;
    }

    /** Sets a routing hold on model versions of an engine. */
    void set(Identity engine, Set<Identity> modelVersions) {
        long nowNs = mContext.scheduler().monotonicNs();
        mHolds.put(engine, new Hold(Set.copyOf(modelVersions), nowNs));
        mChanged = true;
    }

    /** Removes the routing hold of an engine. */
    void clear(Identity engine) {
        mChanged |= mHolds.remove(engine) != null;
    }

    /** Returns the engines with a routing hold. */
    Set<Identity> heldEngines() {
        return Set.copyOf(mHolds.keySet());
    }

    /** Returns the engines with a routing hold on a model version. */
    Set<Identity> heldEngines(Identity modelVersion) {
        Set<Identity> held = new HashSet<>();
        mHolds.forEach(
                (id, hold) -> {
                    if (hold.modelVersions().contains(modelVersion)) {
                        held.add(id);
                    }
                });
        return held;
    }

    /** Returns whether all given model versions of an engine have a routing hold. */
    boolean isHeld(Identity engine, Set<Identity> modelVersions) {
        Hold hold = mHolds.get(engine);
        return hold != null && hold.modelVersions().containsAll(modelVersions);
    }

    /** Returns the age of the routing hold of an engine in nanoseconds, if it has one. */
    Optional<Long> holdAgeNs(Identity engine) {
        long nowNs = mContext.scheduler().monotonicNs();
        return Optional.ofNullable(mHolds.get(engine)).map(hold -> nowNs - hold.sinceNs());
    }

    /** Announces changed holds at once and repeats unchanged ones. */
    void step() {
        long nowNs = mContext.scheduler().monotonicNs();
        PlacementSettings settings = mContext.settings();
        long sinceNs = nowNs - mLastAnnouncedNs;
        boolean fast =
                mRepeats < FAST_REPEATS && sinceNs >= settings.holdPropagation().toNanos() / 4;
        boolean refresh = !mHolds.isEmpty() && sinceNs >= settings.holdRefresh().toNanos();
        if (!mChanged && !fast && !refresh) {
            return;
        }
        mRepeats = mChanged ? 0 : mRepeats + 1;
        mChanged = false;
        mLastAnnouncedNs = nowNs;
        announce();
    }

    private void announce() {
        mSequence++;
        mTable.apply(createNotice(false));
        Identity self = mContext.members().self().host();
        Map<Identity, List<Member>> others = new HashMap<>();
        for (Member member : mContext.members().members()) {
            if (member.host().equals(self)) {
                continue;
            }
            if (member.domain().equals(mContext.members().self().domain())) {
                mContext.peers().send(member.host(), createNotice(false));
            } else {
                others.computeIfAbsent(member.domain(), d -> new ArrayList<>()).add(member);
            }
        }
        for (List<Member> domain : others.values()) {
            for (Member relay : Rendezvous.rank(mShard.key(), domain, RELAYS_PER_DOMAIN)) {
                mContext.peers().send(relay.host(), createNotice(true));
            }
        }
    }

    private PlacementMessage.HoldNotice createNotice(boolean relay) {
        List<PlacementMessage.EngineHold> holds = new ArrayList<>();
        mHolds.forEach(
                (id, hold) -> holds.add(new PlacementMessage.EngineHold(id, hold.modelVersions())));
        return new PlacementMessage.HoldNotice(mShard, mFence, mSequence, relay, holds);
    }
}
