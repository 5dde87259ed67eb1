package org.amaranthpick.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.ReachReport;
import org.amaranthpick.core.name.Identity;

/**
 * Changes that ride on heartbeats, each a limited number of times, the least told first. When too
 * many wait, the most told are dropped: the comparison of tables carries them.
 */
final class NewsQueue {
    private static final int MAX_ITEMS = 8;
    private static final int MAX_QUEUED = 64;
    private static final int REPEATS_PER_DOUBLING = 2;

    private final Map<Key, Item> mItems = new HashMap<>();

    private enum Kind {
        MEMBER,
        NOTICE,
        REPORT
    }

    private record Key(Kind kind, Identity subject) {}

    private static final class Item {
        private final Object mContent;
        private int mTold;

        Item(Object content) {
            mContent = content;
        }
    }

    void add(News news) {
        news.members().forEach(m -> put(Kind.MEMBER, m.host(), m));
        news.notices().forEach(n -> put(Kind.NOTICE, n.target(), n));
        news.reports().forEach(r -> put(Kind.REPORT, r.reporter(), r));
    }

    /** Takes the news for one heartbeat within a group of daemons. */
    News take(int groupSize) {
        if (mItems.isEmpty()) {
            return News.NONE;
        }
        int limit = repeats(groupSize);
        List<Map.Entry<Key, Item>> entries = new ArrayList<>(mItems.entrySet());
        entries.sort(Comparator.comparingInt(entry -> entry.getValue().mTold));
        List<Member> members = new ArrayList<>();
        List<LeavingNotice> notices = new ArrayList<>();
        List<ReachReport> reports = new ArrayList<>();
        for (Map.Entry<Key, Item> entry : entries.subList(0, Math.min(MAX_ITEMS, entries.size()))) {
            Item item = entry.getValue();
            if (item.mContent instanceof Member member) {
                members.add(member);
            } else if (item.mContent instanceof LeavingNotice notice) {
                notices.add(notice);
            } else {
                reports.add((ReachReport) item.mContent);
            }
            item.mTold++;
            if (item.mTold >= limit) {
                mItems.remove(entry.getKey());
            }
        }
        return new News(members, notices, reports);
    }

    private void put(Kind kind, Identity subject, Object content) {
        Key key = new Key(kind, subject);
        mItems.remove(key);
        if (mItems.size() >= MAX_QUEUED) {
            mItems.remove(mostTold());
        }
        mItems.put(key, new Item(content));
    }

    private Key mostTold() {
        return mItems.entrySet().stream()
                .max(Comparator.comparingInt(entry -> entry.getValue().mTold))
                .orElseThrow()
                .getKey();
    }

    private static int repeats(int groupSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, groupSize));
        return REPEATS_PER_DOUBLING * doublings;
    }
}
