package org.amaranthpick.tools;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Line of a daemon's log. Before its text it may have a time, the name of its host, and a level.
 * The time is in seconds from an origin of the log, or a date and time.
 *
 * @param timeMs time, empty if the line has none
 * @param host name of the host, empty if the line has none
 * @param text kind and fields
 */
record LogLine(OptionalLong timeMs, Optional<String> host, String text) {
    private static final double MS_PER_S = 1000;

    private static final Pattern LINE =
            Pattern.compile(
                    "\\s*(?:(-?\\d+\\.\\d+|\\d{4}-\\d\\d-\\d\\dT[0-9:.]+)Z?\\s+)?"
                            + "(?:(?!(?:[A-Z]|INFO|WARNING|SEVERE)\\s)([\\w.-]+)\\s+)?"
                            + "(?:(?:[A-Z]|INFO|WARNING|SEVERE)\\s+)?"
                            + "((?:request|unanswered|config|stop|start): .*)");

    /** Reads a line; empty if it says nothing of requests, versions, starts or stops. */
    static Optional<LogLine> read(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new LogLine(
                        timeMs(matcher.group(1)),
                        Optional.ofNullable(matcher.group(2)),
                        matcher.group(3)));
    }

    private static OptionalLong timeMs(String time) {
        if (time == null) {
            return OptionalLong.empty();
        }
        if (time.contains("T")) {
            return OptionalLong.of(
                    LocalDateTime.parse(time).toInstant(ZoneOffset.UTC).toEpochMilli());
        }
        return OptionalLong.of(Math.round(Double.parseDouble(time) * MS_PER_S));
    }

    /** Returns the value of a field, empty if there is none. */
    Optional<String> field(String name) {
        int start = text.indexOf(" " + name + "=");
        if (start < 0) {
            return Optional.empty();
        }
        int from = start + name.length() + 2;
        int end = text.indexOf(' ', from);
        return Optional.of(end < 0 ? text.substring(from) : text.substring(from, end));
    }
}
