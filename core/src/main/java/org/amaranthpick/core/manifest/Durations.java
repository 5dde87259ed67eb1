package org.amaranthpick.core.manifest;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the durations of a manifest: ISO-8601, or a number with a unit such as {@code 5ms}. */
final class Durations {
    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("([0-9.]+)(ns|us|ms|s|m|h)");
    private static final Map<String, Long> NS_PER_UNIT =
            Map.of(
                    "ns", 1L,
                    "us", 1_000L,
                    "ms", 1_000_000L,
                    "s", 1_000_000_000L,
                    "m", 60_000_000_000L,
                    "h", 3_600_000_000_000L);

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @throws IllegalArgumentException if the text is not a valid duration
     */
    static Duration parse(String text) {
        Matcher matcher = NUMBER_WITH_UNIT.matcher(text);
        try {
            if (!matcher.matches()) {
                return Duration.parse(text);
            }
            BigDecimal nsPerUnit = BigDecimal.valueOf(NS_PER_UNIT.get(matcher.group(2)));
            BigDecimal ns = new BigDecimal(matcher.group(1)).multiply(nsPerUnit);
            return Duration.ofNanos(ns.setScale(0, RoundingMode.HALF_UP).longValueExact());
        } catch (DateTimeParseException | ArithmeticException | NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not a duration", e);
        }
    }
}
