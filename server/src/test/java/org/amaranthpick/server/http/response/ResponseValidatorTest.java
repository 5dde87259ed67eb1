package org.amaranthpick.server.http.response;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseValidatorTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static ResponseValidator newValidator(boolean toHead) {
        ResponseValidator validator = new ResponseValidator();
        validator.onCall(toHead);
        return validator;
    }

    /** Checks a response in two parts, cut at each byte, and then byte by byte. */
    private static void check(String response, boolean toHead, boolean surplus)
            throws MalformedResponseException {
        for (int cut = 0; cut <= response.length(); cut++) {
            ResponseValidator validator = newValidator(toHead);
            validator.check(bytes(response.substring(0, cut)));
            validator.check(bytes(response.substring(cut)));
            assertEquals(surplus, validator.hasSurplus());
        }
        ResponseValidator validator = newValidator(toHead);
        for (int i = 0; i < response.length(); i++) {
            validator.check(bytes(response.substring(i, i + 1)));
        }
        assertEquals(surplus, validator.hasSurplus());
    }

    private static void assertMalformed(ResponseFault fault, String response) {
        for (int cut = 0; cut <= response.length(); cut++) {
            ResponseValidator validator = newValidator(false);
            String first = response.substring(0, cut);
            String second = response.substring(cut);
            MalformedResponseException e =
                    assertThrows(
                            MalformedResponseException.class,
                            () -> {
                                validator.check(bytes(first));
                                validator.check(bytes(second));
                            });
            assertEquals(fault, e.fault(), e.getMessage());
            assertTrue(e.getMessage().chars().allMatch(c -> c >= ' ' && c <= '~'), e.getMessage());
            assertTrue(e.getMessage().length() < 400, e.getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content-Length: 5\r\n\r\nhello",
                OK + "Content-Length:5\r\n\r\nhello",
                OK + "Content-Length: \t 5 \t\r\n\r\nhello",
                OK + "content-LENGTH: 0005\r\n\r\nhello",
                OK + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
                OK + "Content-Length: 0\r\n\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200 \u00e4 \tb\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
                OK + "!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 0\r\n\r\n",
                OK + "X:\r\nY: \r\nZ: a\tb \u0080\u00ff:,;\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 5\r\n\r\nhello",
                "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + OK + "Content-Length: 5\r\n\r\nhello",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
                CHUNKED + "0\r\n\r\n",
                CHUNKED + "5\r\nhello\r\n0\r\n\r\n",
                CHUNKED + "3\r\nhel\r\n002\r\nlo\r\n000\r\n\r\n",
                CHUNKED + "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n",
                CHUNKED + "5;a\r\nhello\r\n0;b=c;d=\"e;\\\"f\t \"\r\n\r\n",
                CHUNKED + "5 ; a = \"\"\r\nhello\r\n0\r\n\r\n",
                CHUNKED + "5\r\nhello\r\n0\r\nA: b\r\nC:\r\n\r\n",
                OK + "Transfer-Encoding: CHUNKED \r\n\r\n5\r\nhello\r\n0\r\n\r\n"
            })
    void acceptsWhatTheProtocolAllows(String response) throws Exception {
        check(response, false, false);
        check(response + "\r\n", false, true);
        check(response + OK + "X A: v", false, true);
    }

    /** A response without a length has no end but that of its connection. */
    @ParameterizedTest
    @ValueSource(strings = {OK + "\r\n", OK + "Connection: close\r\n\r\n", "HTTP/1.0 200 \r\n\r\n"})
    void aBodyWithoutLengthIsNotLookedAt(String head) throws Exception {
        check(head + "HTTP/1.1 000\u0000\rhello\r\n\r\n", false, false);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content-Length: 5\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n",
                OK + "\r\n"
            })
    void aResponseToHeadHasNoBody(String response) throws Exception {
        check(response, true, false);
        check(response + "hello", true, true);
    }

    @Test
    void bytesBeforeACallAreSurplus() throws Exception {
        ResponseValidator validator = new ResponseValidator();
        assertFalse(validator.hasSurplus());
        validator.check(bytes("H"));
        assertTrue(validator.hasSurplus());
    }

    @Test
    void checksOneResponseAfterAnother() throws Exception {
        ResponseValidator validator = new ResponseValidator();
        for (int i = 0; i < 3; i++) {
            validator.onCall(false);
            validator.check(bytes(CHUNKED + "5\r\nhello\r\n0\r\n\r\n"));
            assertFalse(validator.hasSurplus());
        }
        validator.onCall(false);
        assertThrows(
                MalformedResponseException.class, () -> validator.check(bytes(OK + "nofield\r\n")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2000 OK\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 20 OK\r\n",
                "HTTP/1.1 2x0 OK\r\n",
                "HTTP/1.1 200OK\r\n",
                "HTTP/1.1 200\r\n",
                "HTTP/1.1  200 OK\r\n",
                "HTTP/1.1\t200 OK\r\n",
                "HTTP/1.1 200\tOK\r\n",
                " HTTP/1.1 200 OK\r\n",
                "\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1\r\n",
                "HTTP/1.11 200 OK\r\n",
                "HTTP/1. 200 OK\r\n",
                "HTTP/2.0 200 OK\r\n",
                "http/1.1 200 OK\r\n",
                "HTTQ/1.1 200 OK\r\n",
                "XHTTP/1.1 200 OK\r\n",
                "ICY 200 OK\r\n",
                "HTTP/1.1 200 O\u0000K\r\n",
                "HTTP/1.1 200 OK\u007f\r\n",
                "HTTP/1.1 200 OK\rX: y\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n",
                "GET / HTTP/1.1\r\n"
            })
    void refusesAFirstLineOfNoResponse(String line) {
        assertMalformed(ResponseFault.STATUS_LINE, line + "Content-Length: 5\r\n\r\nhello\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nofield",
                "this is no field",
                ": v",
                " X: y",
                "\tX: y",
                "X: a\rY: b",
                "X: a\r",
                "X: a\u0000b",
                "X: \u0007",
                "X: \u007f",
                "X: \u001b[31m",
                "HTTP/1.1 200 OK",
                "\u0001"
            })
    void refusesALineThatIsNoField(String line) {
        String rest = "Content-Length: 5\r\n\r\nhello";
        assertMalformed(ResponseFault.FIELD, OK + line + "\r\n" + rest);
        assertMalformed(ResponseFault.FIELD, OK + "A: b\r\n" + line + "\r\n" + rest);
        assertMalformed(
                ResponseFault.FIELD, CHUNKED + "5\r\nhello\r\n0\r\nA: b\r\n" + line + "\r\n\r\n");
        assertMalformed(ResponseFault.FIELD, "HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\n" + OK);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X A: v",
                "X-A : v",
                "X\tA: v",
                "X\u0001A: v",
                "X\u007fA: v",
                "\u0000: v",
                "X\u0080: v",
                "X(A): v",
                "X@A: v",
                "X\"A: v",
                "Content Length: 5"
            })
    void refusesANameThatIsNoToken(String line) {
        assertMalformed(ResponseFault.FIELD, OK + line + "\r\nContent-Length: 5\r\n\r\nhello");
        assertMalformed(ResponseFault.FIELD, CHUNKED + "5\r\nhello\r\n0\r\n" + line + "\r\n\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "5x",
        "+5",
        "-5",
        "0x5",
        "5 5",
        "'5,5'",
        "'5, 5'",
        "5.0",
        "5e0",
        "''",
        "\u0665",
        "9223372036854775808",
        "18446744073709551621"
    })
    void refusesALengthThatIsNoNumber(String length) {
        assertMalformed(ResponseFault.LENGTH, OK + "Content-Length: " + length + "\r\n\r\nhello");
    }

    @ParameterizedTest
    @CsvSource({"200,3,5", "200,5,3", "200,5,6", "304,5,6"})
    void refusesSeveralLengths(int status, long first, long second) {
        assertMalformed(
                ResponseFault.LENGTH,
                String.format(
                        "HTTP/1.1 %d Own\r\nContent-Length: %d\r\nA: b\r\nContent-Length: %d"
                                + "\r\n\r\nhello",
                        status, first, second));
    }

    @ParameterizedTest
    @CsvSource({
        "204,Content-Length: 5",
        "204,Transfer-Encoding: chunked",
        "100,Content-Length: 5",
        "103,Transfer-Encoding: chunked"
    })
    void refusesABodyWhereThereIsNone(int status, String field) {
        assertMalformed(
                ResponseFault.LENGTH, "HTTP/1.1 " + status + " Own\r\n" + field + "\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "chunke",
                "xchunked",
                "gzip",
                "gzip, chunked",
                "chunked, gzip",
                "chunked, chunked",
                "identity",
                "",
                "chunked;q=1",
                "chunked,",
                "chunked\r\nTransfer-Encoding: chunked",
                "chunked\r\nTransfer-Encoding: gzip",
                "chunked\r\nContent-Length: 5"
            })
    void refusesATransferCodingThatIsNotChunked(String coding) {
        String rest = "Transfer-Encoding: " + coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
        assertMalformed(ResponseFault.TRANSFER_CODING, OK + rest);
        assertMalformed(ResponseFault.TRANSFER_CODING, OK + "Content-Length: 5\r\n" + rest);
    }

    @Test
    void refusesATransferCodingOfVersion10() {
        assertMalformed(
                ResponseFault.TRANSFER_CODING,
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5x\r\nhello\r\n",
                "+5\r\nhello\r\n",
                "-5\r\nhello\r\n",
                "0x5\r\nhello\r\n",
                " 5\r\nhello\r\n",
                "5 \r\nhello\r\n",
                "5 5\r\nhello\r\n",
                "5,5\r\nhello\r\n",
                "\r\nhello\r\n",
                "g\r\nhello\r\n",
                ";a\r\nhello\r\n",
                "5;\r\nhello\r\n",
                "5;a=\r\nhello\r\n",
                "5;a=\"b\r\nhello\r\n",
                "5;a=\"\r\nhello\r\n",
                "5;a=\"b\\\"\r\nhello\r\n",
                "5;a b\r\nhello\r\n",
                "5;a=\"b\"c\r\nhello\r\n",
                "5;\u0001\r\nhello\r\n",
                "5;a=\"\u0001\"\r\nhello\r\n",
                "5;a \r\nhello\r\n",
                "5\nhello\r\n",
                "5\rhello\r\n",
                "5\r\nhello\n",
                "5\r\nhello",
                "5\r\nhellox\r\n",
                "4\r\nhello\r\n",
                "6\r\nhello\r\n",
                "8000000000000000\r\n",
                "10000000000000005\r\nhello\r\n",
                "5\r\nhello\r\n0x\r\n",
                "5\r\nhello\r\n0 \r\n"
            })
    void refusesChunksThatAreNone(String chunks) {
        assertMalformed(ResponseFault.CHUNK, CHUNKED + chunks + "0\r\n\r\n");
    }

    @Test
    void quotesABoundedPartOfALongLine() {
        assertMalformed(ResponseFault.FIELD, OK + "\u0000".repeat(2000) + "\r\n");
    }
}
