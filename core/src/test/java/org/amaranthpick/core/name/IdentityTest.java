package org.amaranthpick.core.name;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdentityTest {
    @Test
    void equalNamesInTwoFleetsAreDifferentIdentities() {
        Identity kenanga = Identity.resolve("kenanga", ResourceKind.PIPELINE, "assistant");
        Identity viseu = Identity.resolve("viseu", ResourceKind.PIPELINE, "assistant");
        assertNotEquals(kenanga, viseu);
        assertNotEquals(kenanga.key(), viseu.key());
    }

    @Test
    void composedAndDecomposedUnicodeFormsAreEqual() {
        Identity composed = new Identity("f", ResourceKind.SERVICE, "c\u00e2mara");
        Identity decomposed = new Identity("f", ResourceKind.SERVICE, "ca\u0302mara");
        assertEquals(composed, decomposed);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a/b/c", "-a", "a\n", "a:b", "..", "/a", "a/"})
    void malformedReferenceIsRejected(String reference) {
        assertThrows(
                IllegalNameException.class,
                () -> Identity.resolve("fleet", ResourceKind.HOST, reference));
    }

    @Property
    void qualifiedReferenceResolvesToItself(
            @ForAll @AlphaChars @StringLength(min = 1, max = 20) String fleet,
            @ForAll @AlphaChars @StringLength(min = 1, max = 20) String name) {
        Identity id = new Identity(fleet, ResourceKind.UPSTREAM, name);
        assertEquals(id, Identity.resolve("other", ResourceKind.UPSTREAM, id.qualifiedName()));
    }
}
