package org.amaranthpick.tools;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Picks out of a daemon's log what explains one request: its own lines, and before each the newest
 * beliefs about the upstreams that it was sent to.
 */
final class LogExplanation {
    /** Beliefs shown of each upstream, newest ones. */
    private static final int MOST_BELIEFS = 3;

    private static final Pattern ADDRESS = Pattern.compile("[0-9]+(?:\\.[0-9]+){3}:[0-9]+");
    private static final Pattern BELIEF = Pattern.compile("^[A-Z] (health|register|order): ");
    private static final Pattern ABOUT_ALL = Pattern.compile("^[A-Z] (store|config|lease|stop): ");

    private final String mRequestId;
    private final List<String> mBefore = new ArrayList<>();
    private final Set<String> mShown = new HashSet<>();
    private final List<String> mLines = new ArrayList<>();

    /**
     * Creates an explanation without lines.
     *
     * @param requestId id of the request
     */
    LogExplanation(String requestId) {
        mRequestId = requestId;
    }

    /** Handles the next line of the log. */
    void take(String line) {
        if (line.contains("id=" + mRequestId + " ") || line.endsWith("request=" + mRequestId)) {
            showBeliefs(line);
            mLines.add(line);
        } else if (BELIEF.matcher(line).find() || ABOUT_ALL.matcher(line).find()) {
            mBefore.add(line);
        }
    }

    /**
     * Returns what explains the request.
     *
     * @return lines in the order of the log; empty if the log does not know the request
     */
    List<String> lines() {
        return List.copyOf(mLines);
    }

    private void showBeliefs(String line) {
        Matcher matcher = ADDRESS.matcher(line);
        while (matcher.find()) {
            showNewest(matcher.group());
        }
        for (int i = mBefore.size() - 1; i >= 0; i--) {
            String before = mBefore.get(i);
            if (ABOUT_ALL.matcher(before).find()) {
                show(before);
                return;
            }
        }
    }

    private void showNewest(String address) {
        Deque<String> newest = new ArrayDeque<>();
        for (int i = mBefore.size() - 1; i >= 0 && newest.size() < MOST_BELIEFS; i--) {
            if (mBefore.get(i).contains("address=" + address + " ")) {
                newest.addFirst(mBefore.get(i));
            }
        }
        newest.forEach(this::show);
    }

    private void show(String line) {
        if (mShown.add(line)) {
            mLines.add("    " + line);
        }
    }
}
