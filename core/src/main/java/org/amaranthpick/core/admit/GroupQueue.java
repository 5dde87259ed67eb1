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
 * Requests that wait for one group of upstreams, in one queue per workspace. Between workspaces the
 * lowest virtual start goes first (start-time fair queueing, where the cost of a request is its
 * tokens divided by the weight of the workspace). Priority lowers the virtual start by a bounded
 * number of tokens, so that no workspace starves. Within a workspace one priority level equals a
 * fixed waiting time. Not thread-safe.
 */
final class GroupQueue {
    private static final int MAX_IDLE_QUEUES = 64;

    private final AdmissionSettings mSettings;
    private final Map<Identity, WorkspaceQueue> mQueues = new HashMap<>();
    private final Set<WorkspaceQueue> mActiveQueues = new LinkedHashSet<>();
    private int mSize;
    private double mVirtualTime;

    /** Waiting requests of one workspace. */
    private static final class WorkspaceQueue {
        private final TreeSet<WaitingRequest> mRequests = new TreeSet<>();
        private double mVirtualFinish;
        private long mTokens;
    }

    GroupQueue(AdmissionSettings settings) {
        mSettings = settings;
    }

    int size() {
        return mSize;
    }

    int size(Identity workspace) {
        WorkspaceQueue queue = mQueues.get(workspace);
        return queue == null ? 0 : queue.mRequests.size();
    }

    long tokens(Identity workspace) {
        WorkspaceQueue queue = mQueues.get(workspace);
        return queue == null ? 0 : queue.mTokens;
    }

    /** Returns whether the queue of a workspace has reached its bound. */
    boolean isFull(Identity workspace) {
        return size(workspace) >= mSettings.maxWaitingPerWorkspace();
    }

    boolean isOverfull() {
        return mSize > mSettings.maxWaiting();
    }

    void add(WaitingRequest waiting) {
        WorkspaceSpec workspace = waiting.request().workspace();
        WorkspaceQueue queue = mQueues.computeIfAbsent(workspace.id(), key -> new WorkspaceQueue());
        if (queue.mRequests.isEmpty()) {
            queue.mVirtualFinish = Math.max(queue.mVirtualFinish, mVirtualTime);
        }
        queue.mRequests.add(waiting);
        mActiveQueues.add(queue);
        queue.mTokens += waiting.request().tokens();
        mSize++;
    }

    boolean remove(WaitingRequest waiting) {
        WorkspaceQueue queue = mQueues.get(waiting.request().workspace().id());
        if (queue == null || !queue.mRequests.remove(waiting)) {
            return false;
        }
        queue.mTokens -= waiting.request().tokens();
        mSize--;
        if (queue.mRequests.isEmpty()) {
            mActiveQueues.remove(queue);
        }
        return true;
    }

    /**
     * Removes and returns the next request that may start.
     *
     * @param tryStart acquires what the request needs and returns true, or returns false without
     *     side effects
     * @return the request, empty if none may start
     */
    Optional<WaitingRequest> poll(Predicate<WaitingRequest> tryStart) {
        WorkspaceQueue first = null;
        for (WorkspaceQueue queue : mActiveQueues) {
            if (first == null || virtualStart(queue) < virtualStart(first)) {
                first = queue;
            }
        }
        if (first == null) {
            return Optional.empty();
        }
        if (tryStart.test(first.mRequests.first())) {
            return Optional.of(removeFirst(first));
        }
        return pollOthers(first, tryStart);
    }

    private Optional<WaitingRequest> pollOthers(
            WorkspaceQueue triedQueue, Predicate<WaitingRequest> tryStart) {
        List<WorkspaceQueue> queues = new ArrayList<>(mActiveQueues);
        queues.remove(triedQueue);
        queues.sort(Comparator.comparingDouble(this::virtualStart));
        for (WorkspaceQueue queue : queues) {
            if (tryStart.test(queue.mRequests.first())) {
                return Optional.of(removeFirst(queue));
            }
        }
        return Optional.empty();
    }

    private WaitingRequest removeFirst(WorkspaceQueue queue) {
        WaitingRequest next = queue.mRequests.first();
        remove(next);
        mVirtualTime = Math.max(mVirtualTime, queue.mVirtualFinish);
        queue.mVirtualFinish += cost(next.request());
        if (mQueues.size() > 2 * mActiveQueues.size() + MAX_IDLE_QUEUES) {
            mQueues.values()
                    .removeIf(
                            idle ->
                                    idle.mRequests.isEmpty()
                                            && idle.mVirtualFinish <= mVirtualTime);
        }
        return next;
    }

    /** Removes and returns the last request of the longest queue, to make room. */
    Optional<WaitingRequest> removeNewestFromLongest() {
        Optional<WorkspaceQueue> longest =
                mQueues.values().stream()
                        .max(Comparator.comparingInt(queue -> queue.mRequests.size()));
        if (longest.isEmpty() || longest.get().mRequests.isEmpty()) {
            return Optional.empty();
        }
        WaitingRequest newest = longest.get().mRequests.last();
        remove(newest);
        return Optional.of(newest);
    }

    /** Returns the number of workspaces with waiting requests. */
    int activeWorkspaces() {
        return mActiveQueues.size();
    }

    boolean contains(WaitingRequest waiting) {
        WorkspaceQueue queue = mQueues.get(waiting.request().workspace().id());
        return queue != null && queue.mRequests.contains(waiting);
    }

    private double virtualStart(WorkspaceQueue queue) {
        int priority = queue.mRequests.first().request().priority();
        return queue.mVirtualFinish - (double) priority * mSettings.priorityTokens();
    }

    private static double cost(AdmissionRequest request) {
        return request.tokens() / (double) Math.max(1, request.workspace().weight());
    }
}
