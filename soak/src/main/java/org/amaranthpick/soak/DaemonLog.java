package org.amaranthpick.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a daemon logged of its requests, over all its incarnations. */
final class DaemonLog {
    private static final Pattern REQUEST = Pattern.compile("request: id=(\\S+) outcome=(\\S+)");
    private static final String SENT = "attempt";

    /** Line of a process that has finished what was in progress. */
    private static final String FINISHED = "stop: drained=";

    /** Line that says that lines are missing. */
    private static final String LEFT_OUT = "log: left_out=";

    private final Set<String> mIds = new HashSet<>();
    private final List<String> mBroken = new ArrayList<>();

    /** How an incarnation ended. */
    enum End {
        /** Not, or by itself. */
        NONE,
        /** It was told to stop. */
        STOPPED,
        /** It was killed. */
        KILLED
    }

    /**
     * One incarnation.
     *
     * @param from offset of its first byte in the file
     * @param end how it ended
     */
    record Incarnation(long from, End end) {}

    /**
     * Reads the log of a daemon.
     *
     * @param file the file
     * @param incarnations incarnations in their order
     * @return what it says
     * @throws IOException if the file cannot be read
     */
    static DaemonLog read(Path file, List<Incarnation> incarnations) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        DaemonLog log = new DaemonLog();
        for (int i = 0; i < incarnations.size(); i++) {
            int from = (int) incarnations.get(i).from();
            int to =
                    i + 1 < incarnations.size()
                            ? (int) incarnations.get(i + 1).from()
                            : bytes.length;
            log.add(
                    new String(bytes, from, to - from, StandardCharsets.UTF_8),
                    incarnations.get(i).end());
        }
        return log;
    }

    /** Adds the lines of one incarnation. */
    void add(String lines, End end) {
        Map<String, Integer> sends = new HashMap<>();
        Map<String, Integer> ends = new HashMap<>();
        Matcher matcher = REQUEST.matcher(lines);
        while (matcher.find()) {
            mIds.add(matcher.group(1));
            (matcher.group(2).equals(SENT) ? sends : ends).merge(matcher.group(1), 1, Integer::sum);
        }
        boolean whole =
                !lines.contains(LEFT_OUT)
                        && (end == End.NONE || (end == End.STOPPED && lines.contains(FINISHED)));
        for (String id : sends.keySet()) {
            if (whole && !ends.containsKey(id)) {
                mBroken.add(id + " was sent to an upstream and its end is not in the log");
            }
        }
        ends.forEach(
                (id, count) -> {
                    if (count > 1) {
                        mBroken.add(id + " ended " + count + " times in the log");
                    }
                });
    }

    /** Ids of the requests in the log. */
    Set<String> ids() {
        return mIds;
    }

    List<String> broken() {
        return mBroken;
    }
}
