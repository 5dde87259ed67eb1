package org.amaranthpick.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.amaranthpick.core.name.Identity;

/** Rendezvous hashing: every daemon ranks the same members for a key in the same order. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Ranks members for a key.
     *
     * @param key key to place
     * @param members candidates
     * @param count how many to return at most
     * @return the highest-ranked members, first one first
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
