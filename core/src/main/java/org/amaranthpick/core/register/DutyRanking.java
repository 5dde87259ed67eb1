package org.amaranthpick.core.register;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks daemons for a duty by rendezvous hashing, so that all daemons which know the same others
 * agree on who has it, and few duties move when a daemon comes or goes.
 */
public final class DutyRanking {
    private DutyRanking() {}

    /**
     * Ranks daemons for a duty.
     *
     * @param duty name of the duty
     * @param addresses addresses of the candidates
     * @return the candidates, the one that has the duty first
     */
    public static List<String> rank(String duty, Collection<String> addresses) {
        return addresses.stream()
                .distinct()
                .sorted(
                        Comparator.<String>comparingLong(address -> score(duty, address))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long score(String duty, String address) {
        return Hashing.komihash5_0().hashStream().putString(duty).putString(address).getAsLong();
    }
}
