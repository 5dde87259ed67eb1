package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class WriterTokenTest {
    @Test
    void textFormParsesToTheSameToken() {
        WriterToken token = new WriterToken("f/host/a", -5, 17);
        assertEquals(token, WriterToken.parse(token.toString()));
    }

    @Test
    void tokensOfOneProcessDiffer() {
        WriterTokens tokens = new WriterTokens("f/host/a", 1);
        assertNotEquals(tokens.next(), tokens.next());
    }

    @Test
    void malformedTokenIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> WriterToken.parse("a;b"));
    }
}
