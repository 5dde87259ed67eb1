package org.amaranthpick.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.platform.standin.ReceivedResponse;

/** Holds what callers and upstreams saw against the promises. */
final class PromiseCheck {
    /** Time after which a connection no longer closes on a request that was not read. */
    private static final Duration SLACK = Duration.ofMillis(200);

    private final int mEvents;
    private final Set<String> mLogged;
    private final List<String> mBroken = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param events events of a whole stream of the stand-in
     * @param logged ids of the requests that daemons have in their logs
     */
    PromiseCheck(int events, Set<String> logged) {
        mEvents = events;
        mLogged = logged;
    }

    /**
     * Checks all requests of a run.
     *
     * @param calls requests and their answers
     * @param runs how often each request id ran at an upstream
     * @return broken promises, one line each
     */
    List<String> broken(List<CallRecord> calls, Map<String, Integer> runs) {
        Set<String> asked = new HashSet<>();
        for (CallRecord call : calls) {
            asked.add(call.id());
            int ran = runs.getOrDefault(call.id(), 0);
            check(call, ran);
        }
        for (String id : runs.keySet()) {
            if (!asked.contains(id)) {
                mBroken.add(id + " ran and nobody asked for it");
            }
        }
        return mBroken;
    }

    private void check(CallRecord call, int ran) {
        ReceivedResponse answer = call.answer();
        String who =
                call.id()
                        + " ("
                        + call.kind()
                        + ", status "
                        + answer.status()
                        + ", "
                        + call.around().daemon()
                        + ", "
                        + call.around().ended()
                        + ")";
        if (call.kind() == CallKind.NON_IDEMPOTENT && ran > 1) {
            mBroken.add(who + " ran " + ran + " times");
        }
        if (answer.isNotRunStatus() && ran > 0) {
            mBroken.add(who + " was said not to have run, and ran");
        }
        if (answer.isSuccess() && !answer.sealed()) {
            mBroken.add(who + " has no seal");
        }
        if (answer.isSuccess() && ran == 0) {
            mBroken.add(who + " was answered and ran nowhere");
        }
        if (call.kind() == CallKind.STREAM && answer.isSuccess()) {
            checkEvents(who, answer);
        }
        if (call.calm() && answer.status() == 0 && ran > 0) {
            mBroken.add(who + " was cut off by a daemon that was leaving");
        }
        if (call.around().sentWhole() && !call.around().harmed()) {
            checkEnd(call, ran, who);
        }
    }

    /** Checks the end of a request that its daemon had time to answer. */
    private void checkEnd(CallRecord call, int ran, String who) {
        ReceivedResponse answer = call.answer();
        Duration waited = call.around().waited();
        if (answer.status() == 0 && (ran > 0 || mLogged.contains(call.id()))) {
            mBroken.add(who + " was read, ran " + ran + " times and got no answer");
        } else if (answer.status() == 0 && waited.compareTo(SLACK) > 0) {
            mBroken.add(who + " got no answer in " + waited.toMillis() + " ms");
        } else if (answer.status() != 0 && !answer.complete()) {
            boolean stream = call.kind() == CallKind.STREAM && answer.isSuccess();
            if (!stream) {
                mBroken.add(who + " ended in the middle of its answer");
            } else if (!call.around().disturbed()) {
                mBroken.add(who + " was broken off after " + answer.eventIds().size() + " events");
            }
        }
    }

    private void checkEvents(String who, ReceivedResponse answer) {
        List<Integer> ids = answer.eventIds();
        for (int i = 0; i < ids.size(); i++) {
            if (ids.get(i) != i + 1) {
                mBroken.add(who + " has events " + ids);
                return;
            }
        }
        if (answer.complete() && ids.size() != mEvents) {
            mBroken.add(who + " looks complete with " + ids.size() + " events");
        }
    }
}
