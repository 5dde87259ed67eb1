package org.amaranthpick.core.member;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Random order from a seeded generator. */
final class Shuffle {
    private Shuffle() {}

    /** Puts a list into random order. */
    static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
