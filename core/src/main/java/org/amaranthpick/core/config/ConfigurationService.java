package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;

/** Keeps the configuration of this daemon at the newest accepted generation. Thread-safe. */
public final class ConfigurationService implements ConfigurationView, AutoCloseable {
    private static final Duration RECHECK_PERIOD = Duration.ofSeconds(2);

    private final ConfigurationStore mStore;
    private final ObjectStore mObjects;
    private final Scheduler mScheduler;
    private final ConfigurationInForce mInForce;
    private Optional<Watch> mWatch = Optional.empty();
    private Optional<Cancellable> mTimer = Optional.empty();
    private boolean mClosed;

    /**
     * Creates the service; it does nothing before {@link #start()}.
     *
     * @param store stored configuration
     * @param scheduler timers
     * @param inForce holder to fill
     */
    public ConfigurationService(
            ConfigurationStore store, Scheduler scheduler, ConfigurationInForce inForce) {
        mStore = store;
        mObjects = store.store();
        mScheduler = scheduler;
        mInForce = inForce;
    }

    /** Starts watching the store. */
    public synchronized void start() {
        mWatch = Optional.of(mObjects.watch(ConfigurationStore.ROOT_KEY, 0, new RootListener()));
        recheck();
    }

    @Override
    public Optional<Configuration> current() {
        return mInForce.current();
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mWatch.ifPresent(Watch::close);
        mTimer.ifPresent(Cancellable::cancel);
    }

    private void recheck() {
        load();
        synchronized (this) {
            if (!mClosed) {
                mTimer = Optional.of(mScheduler.schedule(RECHECK_PERIOD, this::recheck));
            }
        }
    }

    private void load() {
        mStore.readRoot()
                .thenAccept(
                        result -> {
                            if (result instanceof RootResult.Read read
                                    && read.root().isPresent()
                                    && read.root().get().generation() > mInForce.generation()) {
                                loadWhole();
                            }
                        });
    }

    private void loadWhole() {
        mStore.load()
                .thenAccept(
                        result -> {
                            if (result instanceof LoadResult.Loaded loaded) {
                                mInForce.install(loaded.configuration());
                            }
                        });
    }

    private final class RootListener implements WatchListener {
        @Override
        public void onWritten(StoredObject object) {
            load();
        }

        @Override
        public void onDeleted(String key, long revision) {
            // An accepted generation stays in force.
        }

        @Override
        public void onProgress(long revision) {
            // The root has not changed.
        }

        @Override
        public void onEnded(String reason) {
            // The next recheck reads the root.
        }
    }
}
