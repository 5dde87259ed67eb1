package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Requests that wait for one group of upstreams, in one lane per workspace. Between lanes the
 * lowest virtual start goes first (start-time fair queueing by tokens over weight); priority lowers
 * it by a bounded number of tokens, so that no workspace is passed over for ever. Within a lane a
 * level of priority is worth some waiting time. Not thread-safe.
 */
final class GroupQueue {
    private static final int IDLE_LANES = 64;

    private final AdmissionSettings mSettings;
    private final Map<Identity, Lane> mLanes = new HashMap<>();
    private final Set<Lane> mActive = new LinkedHashSet<>();
    private int mSize;
    private double mVirtual;

    /** Requests of one workspace. */
    private static final class Lane {
        private final TreeSet<Waiting> mWaiting = new TreeSet<>();
        private double mFinish;
        private long mTokens;
    }

    GroupQueue(AdmissionSettings settings) {
        mSettings = settings;
    }

    int size() {
        return mSize;
    }

    int size(Identity workspace) {
        Lane lane = mLanes.get(workspace);
        return lane == null ? 0 : lane.mWaiting.size();
    }

    long tokens(Identity workspace) {
        Lane lane = mLanes.get(workspace);
        return lane == null ? 0 : lane.mTokens;
    }

    /** Tells whether one more request of a workspace would pass the bounds of the queue. */
    boolean isFull(Identity workspace) {
        return size(workspace) >= mSettings.maxWaitingPerWorkspace();
    }

    boolean isOverfull() {
        return mSize > mSettings.maxWaiting();
    }

    void add(Waiting waiting) {
        WorkspaceSpec workspace = waiting.request().workspace();
        Lane lane = mLanes.computeIfAbsent(workspace.id(), key -> new Lane());
        if (lane.mWaiting.isEmpty()) {
            lane.mFinish = Math.max(lane.mFinish, mVirtual);
        }
        lane.mWaiting.add(waiting);
        mActive.add(lane);
        lane.mTokens += waiting.request().tokens();
        mSize++;
    }

    boolean remove(Waiting waiting) {
        Lane lane = mLanes.get(waiting.request().workspace().id());
        if (lane == null || !lane.mWaiting.remove(waiting)) {
            return false;
        }
        lane.mTokens -= waiting.request().tokens();
        mSize--;
        if (lane.mWaiting.isEmpty()) {
            mActive.remove(lane);
        }
        return true;
    }

    /**
     * Takes the next request that may start.
     *
     * @param mayStart takes what the request needs and returns true, or returns false
     * @return the request, empty if none may start
     */
    Optional<Waiting> poll(Predicate<Waiting> mayStart) {
        Lane first = null;
        for (Lane lane : mActive) {
            if (first == null || score(lane) < score(first)) {
                first = lane;
            }
        }
        if (first == null) {
            return Optional.empty();
        }
        if (mayStart.test(first.mWaiting.first())) {
            return Optional.of(take(first));
        }
        return pollOthers(first, mayStart);
    }

    private Optional<Waiting> pollOthers(Lane tried, Predicate<Waiting> mayStart) {
        List<Lane> lanes = new ArrayList<>(mActive);
        lanes.remove(tried);
        lanes.sort(Comparator.comparingDouble(this::score));
        for (Lane lane : lanes) {
            if (mayStart.test(lane.mWaiting.first())) {
                return Optional.of(take(lane));
            }
        }
        return Optional.empty();
    }

    private Waiting take(Lane lane) {
        Waiting next = lane.mWaiting.first();
        remove(next);
        mVirtual = Math.max(mVirtual, lane.mFinish);
        lane.mFinish += cost(next.request());
        if (mLanes.size() > 2 * mActive.size() + IDLE_LANES) {
            mLanes.values().removeIf(l -> l.mWaiting.isEmpty() && l.mFinish <= mVirtual);
        }
        return next;
    }

    /** Takes the newest request of the longest lane out, to make room. */
    Optional<Waiting> dropFromLongest() {
        Optional<Lane> longest =
                mLanes.values().stream().max(Comparator.comparingInt(lane -> lane.mWaiting.size()));
        if (longest.isEmpty() || longest.get().mWaiting.isEmpty()) {
            return Optional.empty();
        }
        Waiting last = longest.get().mWaiting.last();
        remove(last);
        return Optional.of(last);
    }

    /** Counts the workspaces with waiting requests. */
    int workspaces() {
        return mActive.size();
    }

    boolean contains(Waiting waiting) {
        Lane lane = mLanes.get(waiting.request().workspace().id());
        return lane != null && lane.mWaiting.contains(waiting);
    }

    private double score(Lane lane) {
        int priority = lane.mWaiting.first().request().priority();
        return lane.mFinish - (double) priority * mSettings.priorityTokens();
    }

    private static double cost(AdmissionRequest request) {
        return request.tokens() / (double) Math.max(1, request.workspace().weight());
    }
}
