package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.amaranthpick.core.gateway.RecentServices;
import org.amaranthpick.core.time.Scheduler;

/**
 * Admits requests of models while their chains are nearly full, by what delay and refusal cost
 * callers. Requests of plain services, and of models whose room is unknown, are sent at once. All
 * state is that of this daemon and is lost with it; a request that waits has not been sent.
 * Confined to one thread.
 */
public final class LoadAdmission {
    /** Bounds the memory for the routes of past configurations. */
    private static final int MAX_ROUTES = 1024;

    private final RoomSource mRooms;
    private final IntSupplier mDaemons;
    private final Scheduler mScheduler;
    private final Map<String, ServiceAdmission> mServices = new RecentServices<>();
    private final Map<String, CallerTimes> mCallers = new HashMap<>();

    /**
     * Creates an admission without waiting requests.
     *
     * @param rooms room of the services
     * @param daemons returns the number of daemons
     * @param scheduler clock and timers
     */
    public LoadAdmission(RoomSource rooms, IntSupplier daemons, Scheduler scheduler) {
        mRooms = rooms;
        mDaemons = daemons;
        mScheduler = scheduler;
    }

    /**
     * Returns a ticket for a request.
     *
     * @param candidate the request
     * @return ticket, with which the decision is asked for
     */
    public AdmissionTicket ticket(AdmissionCandidate candidate) {
        if (mCallers.size() >= MAX_ROUTES) {
            mCallers.clear();
        }
        CallerTimes callers =
                mCallers.computeIfAbsent(candidate.route().name(), name -> new CallerTimes());
        Duration age = callers.age(candidate.timeLimit(), candidate.receivedNs());
        return new AdmissionTicket(service(candidate.service().name()), candidate, age);
    }

    /** Checks the waiting requests again after news of the engines. */
    public void onRoom() {
        mServices.values().forEach(ServiceAdmission::sendWaiting);
    }

    private ServiceAdmission service(String name) {
        return mServices.computeIfAbsent(
                name, service -> new ServiceAdmission(mRooms, mDaemons, mScheduler));
    }
}
