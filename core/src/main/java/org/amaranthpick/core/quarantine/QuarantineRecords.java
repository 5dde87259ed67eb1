package org.amaranthpick.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Keeps what is in quarantine in the store, for the case that all daemons are killed at once. A
 * part is written by the daemon that observed its last crash, and removed by the one that released
 * it. A daemon that starts reads all records. Writes are best effort. Confined to one thread.
 */
public final class QuarantineRecords {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final String PREFIX = "quarantine/";
    private static final String TASK = "quarantine records";
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Bounds the writes of a daemon if many parts are quarantined at once. */
    private static final int MAX_RECORDS = 64;

    private final ObjectStore mStore;
    private final WriterTokens mWriters;
    private final PromptQuarantine mQuarantine;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final TaskGuard mGuard;

    /** Versions of the records that this daemon has written, by part. */
    private final Map<String, Long> mWrittenVersions = new HashMap<>();

    private boolean mListed;

    /**
     * Record of a part in the store.
     *
     * @param report what is known of the part
     * @param writtenAtMs wall-clock time of the report in Unix milliseconds
     */
    private record Entry(PartReport report, long writtenAtMs) {}

    /**
     * Creates the records of a daemon.
     *
     * @param store object API of the platform
     * @param writers source of writer tokens
     * @param quarantine quarantine of this daemon; updated from the store
     * @param scheduler clocks and timers
     * @param executor runs all callbacks, one at a time
     */
    public QuarantineRecords(
            ObjectStore store,
            WriterTokens writers,
            PromptQuarantine quarantine,
            Scheduler scheduler,
            Executor executor) {
        mStore = store;
        mWriters = writers;
        mQuarantine = quarantine;
        mScheduler = scheduler;
        mExecutor = executor;
        mGuard = new TaskGuard(scheduler);
    }

    /** Reads all records; retries until the store answers. */
    public void load() {
        mGuard.call(
                TASK,
                mExecutor,
                () -> mStore.list(PREFIX),
                this::onListed,
                () -> {
                    if (!mListed) {
                        mScheduler.schedule(RETRY_DELAY, this::load);
                    }
                });
    }

    /**
     * Handles an observation of this daemon.
     *
     * @param report all that is known of the part
     */
    public void onObservation(PartReport report) {
        if (mQuarantine.isQuarantined(report.part())) {
            write(report);
        } else if (report.soundAgeMs() >= 0) {
            remove(report.part());
        }
    }

    /** Writes this daemon's records again, when the store came back from a copy. */
    public void onStoreRestored() {
        long nowNs = mScheduler.monotonicNs();
        for (String part : List.copyOf(mWrittenVersions.keySet())) {
            mWrittenVersions.remove(part);
            if (mQuarantine.isQuarantined(part)) {
                write(mQuarantine.report(part, nowNs));
            }
        }
    }

    private void onListed(ListResult result) {
        if (result instanceof ListResult.Listed listed) {
            mListed = true;
            listed.objects().forEach(object -> mGuard.run(TASK, () -> takeIn(object)));
        }
    }

    private void takeIn(StoredObject object) {
        Optional<Entry> entry = decode(object);
        if (entry.isEmpty() || !merge(entry.get())) {
            mStore.delete(object.key(), object.version());
        }
    }

    /** Applies a record; returns whether it still counts. */
    private boolean merge(Entry entry) {
        long ageMs = Math.max(0, mScheduler.instant().toEpochMilli() - entry.writtenAtMs());
        Map<String, Long> ages = new HashMap<>();
        entry.report().crashAgesMs().forEach((id, atMs) -> ages.put(id, atMs + ageMs));
        ages.values().removeIf(crashMs -> crashMs > PromptQuarantine.CRASH_LIFETIME.toMillis());
        if (ages.isEmpty()) {
            return false;
        }
        PartReport report =
                new PartReport(entry.report().part(), ages, -1, entry.report().sharedParts());
        mQuarantine.merge(report, mScheduler.monotonicNs());
        return true;
    }

    private void write(PartReport report) {
        Long version = mWrittenVersions.get(report.part());
        if (version == null && mWrittenVersions.size() >= MAX_RECORDS) {
            mWrittenVersions.keySet().removeIf(part -> !mQuarantine.isQuarantined(part));
            if (mWrittenVersions.size() >= MAX_RECORDS) {
                return;
            }
        }
        WriteCondition condition =
                version == null
                        ? new WriteCondition.Absent()
                        : new WriteCondition.AtVersion(version);
        write(report, condition, () -> replaceOther(report));
    }

    private void write(PartReport report, WriteCondition condition, Runnable onConflict) {
        mStore.write(key(report.part()), condition, encode(report), mWriters.next())
                .thenAccept(
                        result -> mExecutor.execute(() -> onWritten(report, result, onConflict)));
    }

    private void onWritten(PartReport report, WriteResult result, Runnable onConflict) {
        if (result instanceof WriteResult.Applied applied) {
            mWrittenVersions.put(report.part(), applied.version());
        } else {
            mWrittenVersions.remove(report.part());
        }
        if (result instanceof WriteResult.Conflict) {
            onConflict.run();
        }
    }

    /** Replaces the record of another daemon, once. */
    private void replaceOther(PartReport report) {
        mStore.read(key(report.part()))
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                long version = found.object().version();
                                write(report, new WriteCondition.AtVersion(version), () -> {});
                            }
                        });
    }

    private void remove(String part) {
        mWrittenVersions.remove(part);
        String key = key(part);
        mStore.read(key)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                mStore.delete(key, found.object().version());
                            }
                        });
    }

    /** Returns a key of bounded length, since callers choose the ids of parts. */
    private static String key(String part) {
        return PREFIX + Long.toHexString(Hashing.komihash5_0().hashCharsToLong(part));
    }

    private byte[] encode(PartReport report) {
        try {
            return MAPPER.writeValueAsBytes(new Entry(report, mScheduler.instant().toEpochMilli()));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Optional<Entry> decode(StoredObject object) {
        try {
            return Optional.ofNullable(MAPPER.readValue(object.value(), Entry.class))
                    .filter(entry -> entry.report() != null);
        } catch (IOException e) {
            sLogger.atInfo().log("quarantine: %s is not a record: %s", object.key(), e);
            return Optional.empty();
        }
    }
}
