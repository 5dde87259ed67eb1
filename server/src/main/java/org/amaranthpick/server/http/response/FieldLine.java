package org.amaranthpick.server.http.response;

/**
 * Field of a head or of trailers.
 *
 * @param name token
 * @param value text without blanks at its ends, perhaps empty
 */
record FieldLine(String name, String value) {
    /**
     * Parses a line. Folded values are refused, as RFC 9112 allows a gateway to do.
     *
     * @param line the line without its end
     */
    static FieldLine parse(String line) throws MalformedResponseException {
        int colon = line.indexOf(':');
        if (colon <= 0 || Characters.isBlank(line.charAt(0))) {
            throw new MalformedResponseException(
                    ResponseFault.FIELD, QuotedText.of(line) + " is no field");
        }
        String name = line.substring(0, colon);
        if (!Characters.isToken(name)) {
            throw new MalformedResponseException(
                    ResponseFault.FIELD, QuotedText.of(name) + " is no name of a field");
        }
        String value = Characters.trimBlanks(line.substring(colon + 1));
        if (!Characters.isFieldText(value)) {
            throw new MalformedResponseException(
                    ResponseFault.FIELD,
                    "control character in the value of " + QuotedText.of(line));
        }
        return new FieldLine(name, value);
    }
}
