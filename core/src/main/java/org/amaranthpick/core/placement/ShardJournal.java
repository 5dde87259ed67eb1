package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.store.StoredObject;

/**
 * Store object of one control shard. Its owner writes it before any order; a write of another owner
 * makes every later write of the old one fail. Guarded by the shard's lock.
 */
final class ShardJournal {
    private static final String KEY_PREFIX = "placement/shard/";

    private final CasObject mObject;

    /** Result of a write. */
    enum Result {
        /** The write took effect. */
        WRITTEN,
        /** Another owner wrote; {@link #record()} tells its fencing number. */
        OVERTAKEN,
        /** The store gave no answer, or an own earlier write came first; try again. */
        RETRY
    }

    ShardJournal(Identity shard, PlacementContext context, Object lock) {
        mObject = new CasObject(KEY_PREFIX + shard.key(), context.lease(), lock);
    }

    /** Tells whether a call is under way. */
    boolean busy() {
        return mObject.busy();
    }

    /** Returns what was last read or written. */
    ShardRecord record() {
        return mObject.present()
                .map(StoredObject::value)
                .flatMap(value -> StoreJson.read(value, ShardRecord.class))
                .orElse(ShardRecord.EMPTY);
    }

    /**
     * Reads the object and writes the fencing number of a new owner into it.
     *
     * @param fence fencing number of the new owner
     * @param told told of the result
     */
    void open(long fence, Consumer<Result> told) {
        mObject.read(
                end -> {
                    if (end == CasObject.End.FAILED) {
                        told.accept(Result.RETRY);
                    } else if (record().fence() >= fence && !mObject.isOwn()) {
                        told.accept(Result.OVERTAKEN);
                    } else {
                        ShardRecord next = new ShardRecord(fence, 0, record().targets());
                        mObject.write(StoreJson.write(next), e -> told.accept(result(e, fence)));
                    }
                });
    }

    /**
     * Writes what is about to be ordered.
     *
     * @param fence fencing number of the owner
     * @param sequence number of the last order covered
     * @param targets what each engine is to hold
     * @param told told of the result
     */
    void commit(
            long fence,
            long sequence,
            Map<Identity, List<UpstreamSpec.Holding>> targets,
            Consumer<Result> told) {
        ShardRecord next = ShardRecord.of(fence, sequence, targets);
        mObject.write(StoreJson.write(next), end -> told.accept(result(end, fence)));
    }

    private Result result(CasObject.End end, long fence) {
        if (end == CasObject.End.WRITTEN) {
            return Result.WRITTEN;
        }
        boolean overtaken = end == CasObject.End.CONFLICT && !isOwn(fence);
        return overtaken ? Result.OVERTAKEN : Result.RETRY;
    }

    private boolean isOwn(long fence) {
        Optional<StoredObject> present = mObject.present();
        return present.isEmpty() || mObject.isOwn() || record().fence() < fence;
    }
}
