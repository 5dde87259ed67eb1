package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.store.StoredObject;

/**
 * Reads and writes the stored record of one control shard. Its owner writes it before it sends
 * orders. Once a new owner has written it, all later writes of the previous owner fail. Guarded by
 * the shard's lock.
 */
final class ShardRecordStore {
    private static final String KEY_PREFIX = "placement/shard/";

    private final CasObject mObject;

    /** Result of a write. */
    enum Result {
        /** The write took effect. */
        WRITTEN,
        /** Another owner wrote; {@link #record()} contains its fencing number. */
        SUPERSEDED,
        /**
         * The store did not answer, or an earlier write of this owner took effect first; try again.
         */
        RETRY
    }

    ShardRecordStore(Identity shard, PlacementContext context, Object lock) {
        mObject = new CasObject(KEY_PREFIX + shard.key(), context.lease(), lock);
    }

    /** Returns whether a store call is in progress. */
    boolean isBusy() {
        return mObject.isBusy();
    }

    /** Returns the record that was last read or written. */
    ShardRecord record() {
        return mObject.latest()
                .map(StoredObject::value)
                .flatMap(value -> StoreJson.read(value, ShardRecord.class))
                .orElse(ShardRecord.EMPTY);
    }

    /**
     * Reads the object and writes the fencing number of a new owner into it.
     *
     * @param fence fencing number of the new owner
     * @param callback receives the result
     */
    void takeOver(long fence, Consumer<Result> callback) {
        mObject.read(
                result -> {
                    if (result == CasObject.CallResult.FAILED) {
                        callback.accept(Result.RETRY);
                    } else if (record().fence() >= fence && !mObject.isOwnWrite()) {
                        callback.accept(Result.SUPERSEDED);
                    } else {
                        ShardRecord next = new ShardRecord(fence, 0, record().targets());
                        mObject.write(
                                StoreJson.write(next),
                                written -> callback.accept(result(written, fence)));
                    }
                });
    }

    /**
     * Writes the targets that are about to be ordered.
     *
     * @param fence fencing number of the owner
     * @param sequence number of the last order that the write covers
     * @param targets target of each engine
     * @param callback receives the result
     */
    void commit(
            long fence,
            long sequence,
            Map<Identity, List<UpstreamSpec.Holding>> targets,
            Consumer<Result> callback) {
        ShardRecord next = ShardRecord.of(fence, sequence, targets);
        mObject.write(StoreJson.write(next), result -> callback.accept(result(result, fence)));
    }

    private Result result(CasObject.CallResult result, long fence) {
        if (result == CasObject.CallResult.WRITTEN) {
            return Result.WRITTEN;
        }
        boolean superseded = result == CasObject.CallResult.CONFLICT && !mayRetry(fence);
        return superseded ? Result.SUPERSEDED : Result.RETRY;
    }

    private boolean mayRetry(long fence) {
        Optional<StoredObject> latest = mObject.latest();
        return latest.isEmpty() || mObject.isOwnWrite() || record().fence() < fence;
    }
}
