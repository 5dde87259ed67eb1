package org.amaranthpick.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;

/**
 * One store object changed by compare-and-set, one call at a time. An unknown answer is settled by
 * reading the object back and looking for an own writer token. Guarded by its owner's lock, which
 * callbacks take again.
 */
final class CasObject {
    private static final int KEPT_TOKENS = 8;

    private final String mKey;
    private final LeaseContext mContext;
    private final Object mLock;
    private final Deque<WriterToken> mOwnWrites = new ArrayDeque<>();
    private Optional<StoredObject> mPresent = Optional.empty();
    private boolean mInFlight;
    private long mCallStartedNs;
    private long mCallNumber;

    /** How a call ended. */
    enum End {
        /** The object is known as of this call. */
        KNOWN,
        /** The write took effect. */
        WRITTEN,
        /** Another writer was first, or the write did not take effect. */
        CONFLICT,
        /** The store gave no answer. */
        FAILED
    }

    CasObject(String key, LeaseContext context, Object lock) {
        mKey = key;
        mContext = context;
        mLock = lock;
    }

    /** Returns the newest version known. */
    Optional<StoredObject> present() {
        return mPresent;
    }

    /** Tells whether the newest version known was written by this process object. */
    boolean isOwn() {
        return mPresent.flatMap(StoredObject::writer).filter(mOwnWrites::contains).isPresent();
    }

    /** Tells whether a call is under way; one without an answer in time is given up. */
    boolean busy() {
        long elapsedNs = mContext.scheduler().monotonicNs() - mCallStartedNs;
        if (mInFlight && elapsedNs > mContext.settings().maxCallTime().toNanos()) {
            mInFlight = false;
            mCallNumber++;
        }
        return mInFlight;
    }

    /** Reads the object. */
    void read(Consumer<End> told) {
        begin(mContext.store().read(mKey), result -> told.accept(onRead(result, End.KNOWN)));
    }

    /** Writes the object if it is still at the version known. */
    void write(byte[] value, Consumer<End> told) {
        WriterToken token = mContext.writers().next();
        remember(token);
        WriteCondition condition =
                mPresent.<WriteCondition>map(o -> new WriteCondition.AtVersion(o.version()))
                        .orElseGet(WriteCondition.Absent::new);
        begin(
                mContext.store().write(mKey, condition, value, token),
                result -> onWrite(result, value, token, told));
    }

    private void onWrite(WriteResult result, byte[] value, WriterToken token, Consumer<End> told) {
        if (result instanceof WriteResult.Applied applied) {
            mPresent =
                    Optional.of(
                            new StoredObject(mKey, applied.version(), value, Optional.of(token)));
            told.accept(End.WRITTEN);
        } else if (result instanceof WriteResult.Unknown) {
            begin(mContext.store().read(mKey), read -> told.accept(settle(read, token)));
        } else if (result instanceof WriteResult.Conflict) {
            begin(mContext.store().read(mKey), read -> told.accept(onRead(read, End.CONFLICT)));
        } else {
            told.accept(End.FAILED);
        }
    }

    private End settle(ReadResult result, WriterToken token) {
        End end = onRead(result, End.CONFLICT);
        boolean ours = mPresent.flatMap(StoredObject::writer).filter(token::equals).isPresent();
        return end == End.CONFLICT && ours ? End.WRITTEN : end;
    }

    private End onRead(ReadResult result, End onSuccess) {
        if (result instanceof ReadResult.Found found) {
            mPresent = Optional.of(found.object());
            return onSuccess;
        }
        if (result instanceof ReadResult.Missing) {
            mPresent = Optional.empty();
            return onSuccess;
        }
        return End.FAILED;
    }

    private <T> void begin(CompletionStage<T> call, Consumer<T> then) {
        mInFlight = true;
        mCallStartedNs = mContext.scheduler().monotonicNs();
        long number = ++mCallNumber;
        call.thenAccept(
                result -> {
                    synchronized (mLock) {
                        if (number == mCallNumber) {
                            mInFlight = false;
                            then.accept(result);
                        }
                    }
                });
    }

    private void remember(WriterToken token) {
        mOwnWrites.addLast(token);
        if (mOwnWrites.size() > KEPT_TOKENS) {
            mOwnWrites.removeFirst();
        }
    }
}
