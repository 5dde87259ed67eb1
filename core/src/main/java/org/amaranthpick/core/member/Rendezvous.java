package org.amaranthpick.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.amaranthpick.core.name.Identity;

/** Rendezvous hashing: every daemon ranks the same members in the same order for a key. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Ranks members for a key.
     *
     * @param key key to place
     * @param members candidates
     * @param count maximum number of members returned
     * @return the highest-ranked members in descending order
     */
    public static List<Member> rank(String key, Collection<Member> members, int count) {
        return members.stream()
                .sorted(
                        Comparator.<Member>comparingLong(m -> score(key, m.host()))
                                .reversed()
                                .thenComparing(Member::host))
                .limit(count)
                .toList();
    }

    private static long score(String key, Identity host) {
        return Hashing.komihash5_0().hashStream().putString(key).putString(host.key()).getAsLong();
    }
}
