package org.amaranthpick.server.store;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;

/** Watch that counts while it is open. Thread-safe. */
final class BudgetedWatch implements Watch, WatchListener {
    private final BudgetCounters mCounters;
    private final WatchListener mListener;
    private final Consumer<Optional<String>> mLearn;
    private boolean mLearned;
    private Optional<Watch> mWatch = Optional.empty();
    private boolean mOpen;
    private boolean mClosed;

    /**
     * Creates a watch.
     *
     * @param counters counts it while it is open
     * @param learn told once of its first event, with the reason if that is a failure
     * @param listener told of all events
     */
    BudgetedWatch(
            BudgetCounters counters, Consumer<Optional<String>> learn, WatchListener listener) {
        mCounters = counters;
        mLearn = learn;
        mListener = listener;
    }

    /** Opens the watch, unless it was closed while it waited. */
    void open(Supplier<Watch> opener) {
        synchronized (this) {
            if (mClosed) {
                return;
            }
            mOpen = true;
            mCounters.addWatches(1);
        }
        Watch watch = opener.get();
        boolean closed;
        synchronized (this) {
            closed = mClosed;
            mWatch = Optional.of(watch);
        }
        if (closed) {
            watch.close();
        }
    }

    @Override
    public void close() {
        Optional<Watch> watch;
        synchronized (this) {
            mClosed = true;
            stopCounting();
            watch = mWatch;
        }
        watch.ifPresent(Watch::close);
    }

    @Override
    public void onWritten(StoredObject object) {
        learn(Optional.empty());
        mListener.onWritten(object);
    }

    @Override
    public void onDeleted(String key, long revision) {
        learn(Optional.empty());
        mListener.onDeleted(key, revision);
    }

    @Override
    public void onProgress(long revision) {
        learn(Optional.empty());
        mListener.onProgress(revision);
    }

    @Override
    public void onEnded(String reason) {
        learn(Optional.of(reason));
        boolean tell;
        synchronized (this) {
            tell = !mClosed;
            stopCounting();
        }
        if (tell) {
            mListener.onEnded(reason);
        }
    }

    private void learn(Optional<String> failure) {
        synchronized (this) {
            if (mLearned || !mOpen) {
                return;
            }
            mLearned = true;
        }
        mLearn.accept(failure);
    }

    private synchronized void stopCounting() {
        if (mOpen) {
            mOpen = false;
            mCounters.addWatches(-1);
        }
    }
}
