package org.amaranthpick.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.platform.standin.EngineStandIn;

/**
 * Lets engines, or the plain service, fall silent for a while and go on: streams stand still while
 * the engine reports which requests wait for it, or each of its bytes is held from a certain one
 * on, reports included. The other engines may turn requests away meanwhile.
 *
 * @param engines engines that pause, empty for the plain service
 * @param reports whether they report meanwhile
 * @param others whether the other engines turn requests away
 * @param bytes bytes of an answer that pass before it is held
 * @param length how long
 */
record EnginePause(
        List<Integer> engines, boolean reports, boolean others, int bytes, Duration length) {
    private static final int SHORTEST_MS = 300;
    private static final int LONGEST_MS = 1500;
    private static final int MOST_BYTES = 600;

    /** Forms of a pause: reporting, silent, silent service. */
    private static final int FORMS = 3;

    static EnginePause of(PlannedFault fault) {
        int first = fault.target() % SoakSite.ENGINES;
        int rest = fault.target() / SoakSite.ENGINES;
        int form = rest / 2 % FORMS;
        List<Integer> engines = new ArrayList<>();
        if (form < 2) {
            engines.add(first);
            if (rest % 2 == 1) {
                engines.add((first + 1) % SoakSite.ENGINES);
            }
        }
        long lengthMs = fault.length().toMillis();
        return new EnginePause(
                List.copyOf(engines),
                form == 0,
                rest / 2 / FORMS % 2 == 1,
                (int) (lengthMs * (fault.target() + 1) % MOST_BYTES),
                Duration.ofMillis(SHORTEST_MS + lengthMs % (LONGEST_MS - SHORTEST_MS)));
    }

    /** Plays the pause to its end. */
    void play(SoakSite site) {
        List<Integer> shedding = new ArrayList<>();
        for (int i = 0; i < SoakSite.ENGINES; i++) {
            if (others && !engines.isEmpty() && !engines.contains(i)) {
                shedding.add(i);
            }
        }
        set(site, shedding, EngineStandIn.Fault.SHED);
        if (reports) {
            set(site, engines, EngineStandIn.Fault.STALLED);
        } else {
            links(site).forEach(link -> link.holdAfter(bytes));
        }
        LockSupport.parkNanos(length.toNanos());
        set(site, shedding, EngineStandIn.Fault.NONE);
        if (reports) {
            set(site, engines, EngineStandIn.Fault.NONE);
        } else {
            links(site).forEach(LoopbackProxy::release);
        }
    }

    private List<LoopbackProxy> links(SoakSite site) {
        return engines.isEmpty()
                ? List.of(site.linkOf(site.platform().service()))
                : engines.stream().map(i -> site.linkOf(site.platform().engine(i))).toList();
    }

    private static void set(SoakSite site, List<Integer> engines, EngineStandIn.Fault fault) {
        engines.forEach(i -> site.platform().engine(i).setFault(fault));
    }
}
