package org.amaranthpick.server.http.response;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * First line of a response.
 *
 * @param minorVersion second digit of the version HTTP/1.x
 * @param status status code, 0 to 999
 */
record StatusLine(int minorVersion, int status) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int SWITCHING_PROTOCOLS = 101;

    private static final Pattern PATTERN =
            Pattern.compile("HTTP/1\\.([0-9]) ([0-9]{3}) ([^\\r\\n]*)");

    static StatusLine parse(String line) throws MalformedResponseException {
        Matcher matcher = PATTERN.matcher(line);
        if (!matcher.matches() || !Characters.isFieldText(matcher.group(3))) {
            throw new MalformedResponseException(
                    ResponseFault.STATUS_LINE, QuotedText.of(line) + " is no status line");
        }
        return new StatusLine(
                Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
    }

    /** Returns whether another response to the same request follows. */
    boolean isInterim() {
        return status >= 100 && status < 200;
    }

    /** Returns whether the connection carries another protocol from here on. */
    boolean isSwitch() {
        return status == SWITCHING_PROTOCOLS;
    }

    /** Returns whether a response with this status ends with its head, whatever its fields are. */
    boolean hasNoBody() {
        return isInterim() || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** Returns whether the fields of the head may describe a body that is not sent. */
    boolean mayDescribeBody() {
        return !isInterim() && status != NO_CONTENT;
    }

    boolean knowsTransferCodings() {
        return minorVersion > 0;
    }
}
