package org.amaranthpick.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.amaranthpick.platform.standin.StandInCaller;

/**
 * Writes new versions of the configuration, each with a key that no other version holds, and sees
 * whether a daemon that accepted a version's key ever accepts an older one's again.
 */
final class ConfigurationWatch implements Runnable {
    private static final Duration PERIOD = Duration.ofMillis(120);
    private static final Duration PATIENCE = Duration.ofMillis(600);
    private static final int STEPS_A_VERSION = 4;
    private static final int UNAUTHORIZED = 401;

    private final SoakSite mSite;
    private final List<String> mBroken = new CopyOnWriteArrayList<>();
    private final List<String> mIds = new CopyOnWriteArrayList<>();
    private final Map<DaemonProcess, Seen> mSeen = new HashMap<>();
    private volatile boolean mStopped;
    private int mAsked;

    /** Newest version that an incarnation of a daemon has shown. */
    private record Seen(int incarnation, long version) {}

    ConfigurationWatch(SoakSite site) {
        mSite = site;
    }

    void stop() {
        mStopped = true;
    }

    List<String> broken() {
        return mBroken;
    }

    /** Ids of the requests that it sent. */
    List<String> ids() {
        return mIds;
    }

    @Override
    public void run() {
        for (int step = 0; !mStopped; step++) {
            if (step % STEPS_A_VERSION == 0) {
                mSite.configuration().write();
            }
            mSite.daemons().forEach(this::probe);
            LockSupport.parkNanos(PERIOD.toNanos());
        }
    }

    private void probe(DaemonProcess daemon) {
        int incarnation = daemon.incarnation();
        long newest = mSite.configuration().version();
        if (accepts(daemon, newest)) {
            note(daemon, incarnation, newest);
        }
        if (newest > 2 && accepts(daemon, newest - 1)) {
            note(daemon, incarnation, newest - 1);
        }
    }

    private void note(DaemonProcess daemon, int incarnation, long version) {
        Seen before = mSeen.get(daemon);
        if (incarnation != daemon.incarnation()) {
            return;
        }
        if (before != null && before.incarnation() == incarnation && before.version() > version) {
            mBroken.add(
                    daemon.callers() + " went back from " + before.version() + " to " + version);
        }
        mSeen.put(daemon, new Seen(incarnation, version));
    }

    private boolean accepts(DaemonProcess daemon, long version) {
        String id = "v" + mAsked++;
        mIds.add(id);
        try (StandInCaller caller = new StandInCaller(daemon.callers(), PATIENCE)) {
            ReceivedResponse answer =
                    caller.send("GET", "/get/x", id, ConfigurationWriter.key(version), PATIENCE);
            return answer.status() != 0 && answer.status() != UNAUTHORIZED && answer.isSuccess();
        } catch (IOException e) {
            return false;
        }
    }
}
