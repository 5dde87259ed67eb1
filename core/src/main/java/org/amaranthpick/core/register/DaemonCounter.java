package org.amaranthpick.core.register;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Registers this daemon and lists all daemons that have ever registered, so that each can compute
 * its share of a common limit and reach the others. Daemons that are gone remain counted, so that
 * the shares never add up to more than the limit; so do those whose registration the store has
 * lost. A daemon whose own registration is lost registers again.
 */
public final class DaemonCounter implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final String PREFIX = "gateways/";
    private static final String TASK = "daemons";

    /** Number of daemons assumed before the first list; high, so that shares start small. */
    private static final int INITIAL_COUNT = 150;

    private static final Duration FIRST_LIST_DELAY = Duration.ofMillis(2500);
    private static final Duration LIST_PERIOD = Duration.ofSeconds(20);
    private static final Duration REGISTER_RETRY_DELAY = Duration.ofSeconds(2);

    /** Time over which all daemons register again after the store was restored. */
    private static final Duration REREGISTRATION_SPREAD = Duration.ofSeconds(4);

    private final ObjectStore mStore;
    private final WriterTokens mWriters;
    private final String mHost;
    private final Registration mRegistration;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final TaskGuard mGuard;
    private final RandomGenerator mRandom;
    private final Map<String, Optional<Registration>> mKnown = new TreeMap<>();
    private int mCount = INITIAL_COUNT;
    private IntConsumer mOnCount = count -> {};
    private List<PeerDaemon> mDaemons = List.of();
    private List<String> mPeers = List.of();
    private boolean mRegistered;
    private boolean mClosed;

    /**
     * Content of a daemon's object in the store.
     *
     * @param peerAddress address, empty if the daemon accepts no reports
     * @param domain failure domain, null in the objects of releases that don't write it
     */
    private record Registration(String peerAddress, String domain) {}

    /**
     * Creates a counter.
     *
     * @param store object API of the platform
     * @param writers source of writer tokens
     * @param host name of this host
     * @param domain failure domain of this host
     * @param peerAddress IP address and port at which this daemon accepts reports of others
     * @param scheduler clocks and timers
     * @param executor runs all callbacks, one at a time
     * @param random source of jitter
     */
    public DaemonCounter(
            ObjectStore store,
            WriterTokens writers,
            String host,
            String domain,
            Optional<String> peerAddress,
            Scheduler scheduler,
            Executor executor,
            RandomGenerator random) {
        mStore = store;
        mWriters = writers;
        mHost = host;
        mRegistration = new Registration(peerAddress.orElse(""), domain);
        mScheduler = scheduler;
        mExecutor = executor;
        mGuard = new TaskGuard(scheduler);
        mRandom = random;
    }

    /**
     * Registers this daemon and starts to count.
     *
     * @param onCount notified of each count
     */
    public void start(IntConsumer onCount) {
        mOnCount = onCount;
        register();
    }

    /**
     * Returns the number of daemons.
     *
     * @return at least 1; a high estimate before the first count
     */
    public int count() {
        return mCount;
    }

    /**
     * Returns the addresses at which the other daemons accept reports.
     *
     * @return IP addresses and ports, those of daemons that are gone included
     */
    public List<String> peers() {
        return mPeers;
    }

    /**
     * Returns the other daemons that accept reports.
     *
     * @return daemons in the order of their host names, those that are gone included
     */
    public List<PeerDaemon> daemons() {
        return mDaemons;
    }

    /** Registers again soon, when the store came back from a copy that may lack this daemon. */
    public void onStoreRestored() {
        mScheduler.schedule(
                Duration.ofNanos(mRandom.nextLong(REREGISTRATION_SPREAD.toNanos())),
                this::addIfMissing);
    }

    /** Stops counting. This daemon stays registered, as do those that are gone. */
    @Override
    public void close() {
        mExecutor.execute(() -> mClosed = true);
    }

    private void register() {
        mGuard.call(
                TASK,
                mExecutor,
                () ->
                        mStore.write(
                                PREFIX + mHost,
                                new WriteCondition.Absent(),
                                encode(mRegistration),
                                mWriters.next()),
                this::onRegistered,
                () -> scheduleNext(mRegistered ? FIRST_LIST_DELAY : REGISTER_RETRY_DELAY));
    }

    private void onRegistered(WriteResult result) {
        mRegistered =
                result instanceof WriteResult.Applied || result instanceof WriteResult.Conflict;
        if (!mRegistered) {
            sLogger.atInfo().log("roll: daemon not registered yet: %s", result);
        }
    }

    private void scheduleNext(Duration delay) {
        mScheduler.schedule(jittered(delay), this::registerOrList);
    }

    private void registerOrList() {
        if (mClosed) {
            return;
        }
        if (mRegistered) {
            mGuard.call(
                    TASK,
                    mExecutor,
                    () -> mStore.list(PREFIX),
                    this::onListed,
                    () -> scheduleNext(LIST_PERIOD));
        } else {
            register();
        }
    }

    private void onListed(ListResult result) {
        if (result instanceof ListResult.Listed listed) {
            listed.objects().forEach(object -> mKnown.put(object.key(), decode(object)));
            int count = Math.max(1, mKnown.size());
            if (count != mCount) {
                sLogger.atInfo().log("roll: daemons=%d before=%d", count, mCount);
            }
            mCount = count;
            mDaemons = knownDaemons();
            mPeers = mDaemons.stream().map(PeerDaemon::address).toList();
            updateOwn(listed.objects());
            mOnCount.accept(count);
        }
    }

    private List<PeerDaemon> knownDaemons() {
        return mKnown.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(PREFIX + mHost))
                .flatMap(entry -> entry.getValue().stream())
                .filter(found -> found.peerAddress() != null && !found.peerAddress().isEmpty())
                .map(
                        found ->
                                new PeerDaemon(
                                        found.peerAddress(),
                                        Optional.ofNullable(found.domain()).orElse("")))
                .toList();
    }

    private void addIfMissing() {
        if (!mClosed) {
            mStore.write(
                    PREFIX + mHost,
                    new WriteCondition.Absent(),
                    encode(mRegistration),
                    mWriters.next());
        }
    }

    /**
     * Writes the registration if the store has lost it, or if a former daemon of this name left one
     * with another address.
     */
    private void updateOwn(List<StoredObject> objects) {
        if (objects.stream().noneMatch(object -> object.key().equals(PREFIX + mHost))) {
            addIfMissing();
        }
        for (StoredObject object : objects) {
            boolean own = object.key().equals(PREFIX + mHost);
            if (own && !decode(object).equals(Optional.of(mRegistration))) {
                mStore.write(
                        object.key(),
                        new WriteCondition.AtVersion(object.version()),
                        encode(mRegistration),
                        mWriters.next());
            }
        }
    }

    private static byte[] encode(Registration registration) {
        try {
            return MAPPER.writeValueAsBytes(registration);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Optional<Registration> decode(StoredObject object) {
        try {
            return Optional.ofNullable(MAPPER.readValue(object.value(), Registration.class));
        } catch (IOException e) {
            sLogger.atInfo().log("roll: %s does not describe a daemon: %s", object.key(), e);
            return Optional.empty();
        }
    }

    private Duration jittered(Duration delay) {
        return Duration.ofNanos(mRandom.nextLong(delay.toNanos() / 2, delay.toNanos() + 1));
    }
}
