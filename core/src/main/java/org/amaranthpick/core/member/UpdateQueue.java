package org.amaranthpick.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.member.MemberMessage.UnreachableReport;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.name.Identity;

/**
 * Membership changes to be piggybacked on heartbeats. Each is sent a limited number of times, the
 * least sent first. When the queue is full, the most sent change is dropped: daemons that missed it
 * get it when tables are exchanged.
 */
final class UpdateQueue {
    private static final int MAX_ITEMS_PER_HEARTBEAT = 8;
    private static final int MAX_QUEUED = 64;
    private static final int SENDS_PER_DOUBLING = 2;

    private final Map<Key, Item> mItems = new HashMap<>();

    private enum Kind {
        MEMBER,
        NOTICE,
        REPORT
    }

    private record Key(Kind kind, Identity subject) {}

    private static final class Item {
        private final Object mContent;
        private int mSends;

        Item(Object content) {
            mContent = content;
        }
    }

    /** Queues changes; each replaces a queued change of the same subject. */
    void add(Updates updates) {
        updates.members().forEach(m -> put(Kind.MEMBER, m.host(), m));
        updates.notices().forEach(n -> put(Kind.NOTICE, n.target(), n));
        updates.reports().forEach(r -> put(Kind.REPORT, r.reporter(), r));
    }

    /** Returns the changes for the next heartbeat to a group of daemons and counts them as sent. */
    Updates next(int groupSize) {
        if (mItems.isEmpty()) {
            return Updates.NONE;
        }
        int maxSends = maxSends(groupSize);
        List<Map.Entry<Key, Item>> entries = new ArrayList<>(mItems.entrySet());
        entries.sort(Comparator.comparingInt(entry -> entry.getValue().mSends));
        List<Member> members = new ArrayList<>();
        List<LeavingNotice> notices = new ArrayList<>();
        List<UnreachableReport> reports = new ArrayList<>();
        for (Map.Entry<Key, Item> entry :
                entries.subList(0, Math.min(MAX_ITEMS_PER_HEARTBEAT, entries.size()))) {
            Item item = entry.getValue();
            if (item.mContent instanceof Member member) {
                members.add(member);
            } else if (item.mContent instanceof LeavingNotice notice) {
                notices.add(notice);
            } else {
                reports.add((UnreachableReport) item.mContent);
            }
            item.mSends++;
            if (item.mSends >= maxSends) {
                mItems.remove(entry.getKey());
            }
        }
        return new Updates(members, notices, reports);
    }

    private void put(Kind kind, Identity subject, Object content) {
        Key key = new Key(kind, subject);
        mItems.remove(key);
        if (mItems.size() >= MAX_QUEUED) {
            mItems.remove(mostSent());
        }
        mItems.put(key, new Item(content));
    }

    private Key mostSent() {
        return mItems.entrySet().stream()
                .max(Comparator.comparingInt(entry -> entry.getValue().mSends))
                .orElseThrow()
                .getKey();
    }

    private static int maxSends(int groupSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, groupSize));
        return SENDS_PER_DOUBLING * doublings;
    }
}
