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
 * Store object that is changed by compare-and-set, with one call at a time. If the result of a
 * write is unknown, the object is read back and its writer token shows whether the write took
 * effect. Guarded by the lock of its owner, which callbacks acquire again.
 */
final class CasObject {
    private static final int MAX_OWN_WRITES = 8;

    private final String mKey;
    private final LeaseContext mContext;
    private final Object mLock;
    private final Deque<WriterToken> mOwnWrites = new ArrayDeque<>();
    private Optional<StoredObject> mLatest = Optional.empty();
    private boolean mInFlight;
    private long mCallStartedNs;

    /** Number of the current call; results of abandoned calls are ignored. */
    private long mCallNumber;

    /** Result of a call. */
    enum CallResult {
        /** The object was read. */
        READ,
        /** The write took effect. */
        WRITTEN,
        /** Another writer wrote first, or the write did not take effect. */
        CONFLICT,
        /** The store did not answer. */
        FAILED
    }

    CasObject(String key, LeaseContext context, Object lock) {
        mKey = key;
        mContext = context;
        mLock = lock;
    }

    /** Returns the latest known version; empty if the object is missing or was not read yet. */
    Optional<StoredObject> latest() {
        return mLatest;
    }

    /** Returns whether the latest known version was written by this instance. */
    boolean isOwnWrite() {
        return mLatest.flatMap(StoredObject::writer).filter(mOwnWrites::contains).isPresent();
    }

    /** Returns whether a call is in progress. A call without an answer in time is abandoned. */
    boolean isBusy() {
        long elapsedNs = mContext.scheduler().monotonicNs() - mCallStartedNs;
        if (mInFlight && elapsedNs > mContext.settings().maxCallTime().toNanos()) {
            mInFlight = false;
            mCallNumber++;
        }
        return mInFlight;
    }

    /** Reads the object. */
    void read(Consumer<CallResult> callback) {
        begin(
                mContext.store().read(mKey),
                result -> callback.accept(onRead(result, CallResult.READ)));
    }

    /** Writes the object if it is still at the latest known version. */
    void write(byte[] value, Consumer<CallResult> callback) {
        WriterToken token = mContext.writers().next();
        recordOwnWrite(token);
        WriteCondition condition =
                mLatest.<WriteCondition>map(o -> new WriteCondition.AtVersion(o.version()))
                        .orElseGet(WriteCondition.Absent::new);
        begin(
                mContext.store().write(mKey, condition, value, token),
                result -> onWrite(result, value, token, callback));
    }

    private void onWrite(
            WriteResult result, byte[] value, WriterToken token, Consumer<CallResult> callback) {
        if (result instanceof WriteResult.Applied applied) {
            mLatest =
                    Optional.of(
                            new StoredObject(mKey, applied.version(), value, Optional.of(token)));
            callback.accept(CallResult.WRITTEN);
        } else if (result instanceof WriteResult.Unknown) {
            begin(
                    mContext.store().read(mKey),
                    read -> callback.accept(resolveUnknownWrite(read, token)));
        } else if (result instanceof WriteResult.Conflict) {
            begin(
                    mContext.store().read(mKey),
                    read -> callback.accept(onRead(read, CallResult.CONFLICT)));
        } else {
            callback.accept(CallResult.FAILED);
        }
    }

    private CallResult resolveUnknownWrite(ReadResult result, WriterToken token) {
        CallResult callResult = onRead(result, CallResult.CONFLICT);
        boolean own = mLatest.flatMap(StoredObject::writer).filter(token::equals).isPresent();
        return callResult == CallResult.CONFLICT && own ? CallResult.WRITTEN : callResult;
    }

    private CallResult onRead(ReadResult result, CallResult onSuccess) {
        if (result instanceof ReadResult.Found found) {
            mLatest = Optional.of(found.object());
            return onSuccess;
        }
        if (result instanceof ReadResult.Missing) {
            mLatest = Optional.empty();
            return onSuccess;
        }
        return CallResult.FAILED;
    }

    private <T> void begin(CompletionStage<T> call, Consumer<T> onResult) {
        mInFlight = true;
        mCallStartedNs = mContext.scheduler().monotonicNs();
        long number = ++mCallNumber;
        call.thenAccept(
                result -> {
                    synchronized (mLock) {
                        if (number == mCallNumber) {
                            mInFlight = false;
                            onResult.accept(result);
                        }
                    }
                });
    }

    private void recordOwnWrite(WriterToken token) {
        mOwnWrites.addLast(token);
        if (mOwnWrites.size() > MAX_OWN_WRITES) {
            mOwnWrites.removeFirst();
        }
    }
}
