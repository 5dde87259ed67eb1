package org.amaranthpick.core.member;

import java.time.Duration;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.UrgentNews;
import org.amaranthpick.core.name.Identity;

/** Tells news that must not wait for a heartbeat. Guarded by the lock of the membership. */
final class Broadcaster {
    private static final int REPEATS = 4;
    private static final Duration REPEAT_PERIOD = Duration.ofMillis(500);

    private final Object mLock;
    private final MembershipState mState;

    Broadcaster(Object lock, MembershipState state) {
        mLock = lock;
        mState = state;
    }

    /** Tells this domain and the relays of the others, once. */
    void tellAll(News news) {
        tellDomain(news);
        for (Identity domain : mState.table().domains()) {
            if (!domain.equals(mState.ownDomain())) {
                mState.relays(domain).forEach(r -> mState.send(r, new UrgentNews(news)));
            }
        }
    }

    /** Tells this domain, once. */
    void tellDomain(News news) {
        if (!news.isEmpty()) {
            mState.neighbours().forEach(m -> mState.send(m, new UrgentNews(news)));
        }
    }

    /** Tells all now and several times more, so that lost messages do not delay it. */
    void tellAllRepeatedly(News news) {
        tellAll(news);
        for (int i = 1; i <= REPEATS; i++) {
            mState.scheduler().schedule(REPEAT_PERIOD.multipliedBy(i), () -> repeat(news));
        }
    }

    /** Passes on what a relay or a daemon of another domain told of leaving and deaths. */
    void passOn(News told, News fresh) {
        tellDomain(told.leavingOnly());
        tellDomain(fresh.deadOnly());
    }

    private void repeat(News news) {
        synchronized (mLock) {
            tellAll(news);
        }
    }
}
