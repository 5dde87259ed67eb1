package org.amaranthpick.core.member;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Shuffles lists with a given random generator, so that a seeded run can be repeated. */
final class Shuffle {
    private Shuffle() {}

    /** Puts a list into random order, in place. */
    static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
