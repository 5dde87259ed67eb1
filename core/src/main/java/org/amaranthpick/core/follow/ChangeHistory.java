package org.amaranthpick.core.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;

/**
 * Recent changes under a prefix, so that daemons which follow this one get each change once and
 * needn't list the objects after a short loss of contact. Bounded by bytes, beside the newest
 * batch; of an object that changes often only the latest change is passed on. A list after a lost
 * watch counts as the changes that lead to it, but only from the revision before: what was written
 * and deleted again in between is in neither. Confined to one thread.
 */
final class ChangeHistory {
    private static final int MAX_BYTES = 512 * 1024;
    private static final int BATCH_BYTES = 64;

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private List<FollowedChange> mOpenBatch = new ArrayList<>();
    private List<FollowedChange> mLastAnswer = List.of();
    private long mLastAnswerAfter = -1;
    private long mStart;
    private long mRevision = -1;
    private int mBytes;

    /**
     * Changes between the revision of the batch before and that of this one.
     *
     * @param after revision on top of which they apply
     * @param revision revision that they lead to
     * @param listed whether they are the difference to a list, and not all changes
     * @param changes changes in their order
     */
    private record Batch(long after, long revision, boolean listed, List<FollowedChange> changes) {
        int bytes() {
            return BATCH_BYTES + changes.stream().mapToInt(FollowedChange::bytes).sum();
        }

        /** Returns whether changes after a revision may be missing here. */
        boolean lacksChangesAfter(long other) {
            return listed && after < other && other < revision;
        }
    }

    /** Applies a whole list; it begins a new history if it is of another era than this one. */
    void onList(List<StoredObject> objects, long revision) {
        mOpenBatch = new ArrayList<>();
        if (mRevision < 0 || StoreRevision.era(mRevision) != StoreRevision.era(revision)) {
            mBatches.clear();
            mVersions.clear();
            mBytes = 0;
            mStart = revision;
            mRevision = revision;
            forgetAnswer();
            objects.forEach(object -> mVersions.put(object.key(), object.version()));
            return;
        }
        Set<String> gone = new HashSet<>(mVersions.keySet());
        for (StoredObject object : objects) {
            gone.remove(object.key());
            if (mVersions.getOrDefault(object.key(), -1L) != object.version()) {
                add(FollowedChange.written(object));
            }
        }
        gone.forEach(key -> add(FollowedChange.deleted(key, revision)));
        endBatch(revision, true);
    }

    /** Adds a change; followers get it with the next progress. */
    void add(FollowedChange change) {
        mOpenBatch.add(change);
        if (change.deleted()) {
            mVersions.remove(change.key());
        } else {
            mVersions.put(change.key(), change.version());
        }
    }

    /** Ends a batch of changes at a revision. */
    void onProgress(long revision) {
        endBatch(revision, false);
    }

    private void endBatch(long revision, boolean listed) {
        long after = mRevision;
        mRevision = Math.max(mRevision, revision);
        if (mOpenBatch.isEmpty() && !listed) {
            return;
        }
        Batch batch = new Batch(after, mRevision, listed, List.copyOf(mOpenBatch));
        mOpenBatch = new ArrayList<>();
        forgetAnswer();
        mBatches.addLast(batch);
        mBytes += batch.bytes();
        // Without the newest batch, each follower would have to list the objects.
        while (mBytes > MAX_BYTES && mBatches.size() > 1) {
            Batch oldest = mBatches.removeFirst();
            mBytes -= oldest.bytes();
            mStart = oldest.revision();
        }
    }

    /** Returns the revision up to which the changes are known. */
    long revision() {
        return mRevision;
    }

    /**
     * Returns the latest change of each object after a revision, or nothing if some changes may be
     * missing. Daemons that ask for the same changes get the same list, so that it can be encoded
     * once.
     */
    Optional<List<FollowedChange>> after(long revision) {
        if (StoreRevision.era(revision) != StoreRevision.era(mRevision) || revision < mStart) {
            return Optional.empty();
        }
        if (mBatches.stream().anyMatch(batch -> batch.lacksChangesAfter(revision))) {
            return Optional.empty();
        }
        if (revision != mLastAnswerAfter) {
            mLastAnswerAfter = revision;
            mLastAnswer = latestAfter(revision);
        }
        return Optional.of(mLastAnswer);
    }

    private List<FollowedChange> latestAfter(long revision) {
        Map<String, FollowedChange> latest = new LinkedHashMap<>();
        for (Batch batch : mBatches) {
            if (batch.revision() > revision) {
                for (FollowedChange change : batch.changes()) {
                    latest.remove(change.key());
                    latest.put(change.key(), change);
                }
            }
        }
        return List.copyOf(latest.values());
    }

    private void forgetAnswer() {
        mLastAnswerAfter = -1;
    }
}
