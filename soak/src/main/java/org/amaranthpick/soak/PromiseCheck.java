package org.amaranthpick.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.platform.standin.ReceivedResponse;

/** Holds what callers and upstreams saw against the promises. */
final class PromiseCheck {
    /** Events of a whole stream of the stand-in. */
    private static final int EVENTS = 10;

    private PromiseCheck() {}

    /**
     * Checks all requests of a run.
     *
     * @param calls requests and their answers
     * @param runs how often each request id ran at an upstream
     * @return broken promises, one line each
     */
    static List<String> broken(List<CallRecord> calls, Map<String, Integer> runs) {
        List<String> broken = new ArrayList<>();
        Set<String> asked = new HashSet<>();
        for (CallRecord call : calls) {
            asked.add(call.id());
            int ran = runs.getOrDefault(call.id(), 0);
            check(call, ran, broken);
        }
        for (String id : runs.keySet()) {
            if (!asked.contains(id)) {
                broken.add(id + " ran and nobody asked for it");
            }
        }
        return broken;
    }

    private static void check(CallRecord call, int ran, List<String> broken) {
        ReceivedResponse answer = call.answer();
        String who = call.id() + " (" + call.kind() + ", status " + answer.status() + ")";
        if (call.kind() == CallKind.NON_IDEMPOTENT && ran > 1) {
            broken.add(who + " ran " + ran + " times");
        }
        if (answer.isNotRunStatus() && ran > 0) {
            broken.add(who + " was said not to have run, and ran");
        }
        if (answer.isSuccess() && !answer.sealed()) {
            broken.add(who + " has no seal");
        }
        if (answer.isSuccess() && ran == 0) {
            broken.add(who + " was answered and ran nowhere");
        }
        if (call.kind() == CallKind.STREAM && answer.isSuccess()) {
            checkEvents(who, answer, broken);
        }
        if (call.calm() && answer.status() == 0 && ran > 0) {
            broken.add(who + " was cut off by a daemon that was leaving");
        }
    }

    private static void checkEvents(String who, ReceivedResponse answer, List<String> broken) {
        List<Integer> ids = answer.eventIds();
        for (int i = 0; i < ids.size(); i++) {
            if (ids.get(i) != i + 1) {
                broken.add(who + " has events " + ids);
                return;
            }
        }
        if (answer.complete() && ids.size() != EVENTS) {
            broken.add(who + " looks complete with " + ids.size() + " events");
        }
    }
}
