package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.OptionalLong;
import org.amaranthpick.core.time.Scheduler;

/**
 * Planned work that is within reach, beside which ends of requests are counted: a stop of this
 * daemon, or a change of its configuration. Confined to one thread.
 */
final class PlannedWork {
    /**
     * Time after a change comes into force: 2 s within which it has to apply everywhere, and 1 s.
     */
    private static final Duration CONFIGURATION_REACH = Duration.ofSeconds(3);

    private final Scheduler mScheduler;
    private OptionalLong mVersion = OptionalLong.empty();
    private long mInForceNs;
    private boolean mChanged;
    private boolean mStopping;

    /** What is within reach; a stop goes before a change of the configuration. */
    enum Kind {
        STOP,
        CONFIGURATION,
        NONE
    }

    PlannedWork(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Records that a version comes into force; the first one after the start is no change. */
    void onConfiguration(long version) {
        mChanged = mVersion.isPresent();
        mVersion = OptionalLong.of(version);
        mInForceNs = mScheduler.monotonicNs();
    }

    /** Records that the stop of this daemon begins. */
    void onStop() {
        mStopping = true;
    }

    Kind kind() {
        if (mStopping) {
            return Kind.STOP;
        }
        boolean near = mChanged && age().compareTo(CONFIGURATION_REACH) <= 0;
        return near ? Kind.CONFIGURATION : Kind.NONE;
    }

    /** Returns the log fields of the version in force and its age, empty if there is none. */
    String describe() {
        return mVersion.isEmpty()
                ? ""
                : String.format(
                        Locale.ROOT,
                        "config_now=%d config_age_ms=%d",
                        mVersion.getAsLong(),
                        age().toMillis());
    }

    private Duration age() {
        return Duration.ofNanos(mScheduler.monotonicNs() - mInForceNs);
    }
}
