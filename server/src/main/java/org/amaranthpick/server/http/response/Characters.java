package org.amaranthpick.server.http.response;

/** Classes of characters of RFC 9110, section 5.6, for texts that hold one byte a character. */
final class Characters {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;
    private static final char TAB = '\t';

    private Characters() {}

    /** Returns whether a text is a token: one character or more, such as a field's name. */
    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(Characters::isTokenCharacter);
    }

    static boolean isTokenCharacter(int c) {
        return isDigit(c)
                || (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }

    /** Returns whether a text may be a field's value or a reason phrase. */
    static boolean isFieldText(String text) {
        return text.chars().allMatch(Characters::isFieldTextCharacter);
    }

    static boolean isFieldTextCharacter(int c) {
        return c == TAB || (c >= ' ' && c != DELETE);
    }

    static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    static boolean isBlank(int c) {
        return c == ' ' || c == TAB;
    }

    /** Returns a text without the spaces and tabs at its ends. */
    static String trimBlanks(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }
}
