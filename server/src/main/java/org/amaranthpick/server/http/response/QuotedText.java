package org.amaranthpick.server.http.response;

import java.util.Locale;

/** Quotes what an upstream sent, for messages and logs. */
final class QuotedText {
    private static final int MAX_CHARS = 60;

    private QuotedText() {}

    /**
     * Returns the beginning of a text in single quotes, other bytes than printable ASCII escaped.
     */
    static String of(String text) {
        StringBuilder quoted = new StringBuilder("'");
        for (int i = 0; i < Math.min(text.length(), MAX_CHARS); i++) {
            append(quoted, text.charAt(i));
        }
        return quoted.append(text.length() > MAX_CHARS ? "...'" : "'").toString();
    }

    private static void append(StringBuilder quoted, char c) {
        boolean plain = c >= ' ' && c <= '~' && c != '\'' && c != '"' && c != '\\';
        if (plain) {
            quoted.append(c);
        } else {
            quoted.append(String.format(Locale.ROOT, "\\x%02x", (int) c));
        }
    }
}
