package org.amaranthpick.core.follow;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.FollowTimings;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.time.Scheduler;

/**
 * What a watch through other daemons works with.
 *
 * @param store the store
 * @param link asks other daemons
 * @param roles choice of the daemon to follow
 * @param changes answers the daemons that follow this one
 * @param timings times of following in a failure domain with many daemons
 * @param scheduler clock and timers
 * @param random source of jitter
 * @param pollReplaced notified of each poll that another daemon answered in place of the store
 */
public record FollowContext(
        ObjectStore store,
        FollowLink link,
        FollowRoles roles,
        ChangeSource changes,
        FollowTimings timings,
        Scheduler scheduler,
        RandomGenerator random,
        Runnable pollReplaced) {
    void onPollReplaced() {
        pollReplaced.run();
    }
}
