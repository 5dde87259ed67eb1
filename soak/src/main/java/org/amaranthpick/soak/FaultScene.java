package org.amaranthpick.soak;

import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Faults that are drawn together. */
public enum FaultScene {
    /** All kinds; short streams. */
    ALL(10),
    /** Planned work and sound engines that pause; streams last a second. */
    PLANNED(200);

    private static final List<FaultKind> PLANNED_KINDS =
            Stream.of(
                            Collections.nCopies(6, FaultKind.ENGINE_PAUSES),
                            Collections.nCopies(3, FaultKind.CONFIG_CHANGES),
                            List.of(FaultKind.TERM))
                    .flatMap(List::stream)
                    .toList();

    /** Kinds that are no reason to break off a stream. */
    private static final Set<FaultKind> SOUND =
            Collections.unmodifiableSet(
                    EnumSet.of(
                            FaultKind.TERM,
                            FaultKind.STORE_BUSY,
                            FaultKind.STORE_COMPACT,
                            FaultKind.ENGINE_PAUSES,
                            FaultKind.CONFIG_CHANGES,
                            FaultKind.TERM_SERIES));

    private final int mEvents;

    FaultScene(int events) {
        mEvents = events;
    }

    /** Kinds to draw from; a kind that is drawn more often is in the list more often. */
    List<FaultKind> drawn() {
        return this == ALL ? List.of(FaultKind.values()) : PLANNED_KINDS;
    }

    /** Kinds that each plan has once, at its start. */
    List<FaultKind> always() {
        return this == ALL ? List.of() : List.of(FaultKind.TERM_SERIES);
    }

    /** Events of a whole stream. */
    int events() {
        return mEvents;
    }

    /** Returns whether a fault may break off streams. */
    static boolean mayBreakStreams(FaultKind kind) {
        return !SOUND.contains(kind);
    }
}
