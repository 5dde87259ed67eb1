package org.amaranthpick.core.board;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks that the operations on single keys of a section are linearisable. */
@Param(name = "key", gen = IntGen.class, conf = "1:3")
@Param(name = "value", gen = IntGen.class, conf = "1:9")
public class SectionLincheckTest {
    private static final int ITERATIONS = 20;
    private static final int INVOCATIONS = 300;

    private final Section<Integer, Integer> mSection = new Section<>();

    @Operation
    public Integer get(@Param(name = "key") int key) {
        return mSection.get(key).orElse(0);
    }

    @Operation
    public void put(@Param(name = "key") int key, @Param(name = "value") int value) {
        mSection.put(key, value);
    }

    @Operation
    public int add(@Param(name = "key") int key, @Param(name = "value") int value) {
        return mSection.update(key, 0, present -> present + value);
    }

    @Operation
    public void remove(@Param(name = "key") int key) {
        mSection.remove(key);
    }

    @Test
    void singleKeyOperationsAreLinearisable() {
        options().check(SectionLincheckTest.class);
    }

    @Test
    void readingAndWritingSeparatelyIsNotLinearisable() {
        assertThrows(AssertionError.class, () -> options().check(NonAtomicAdd.class));
    }

    private static ModelCheckingOptions options() {
        return new ModelCheckingOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS)
                .threads(2)
                .actorsPerThread(3);
    }

    /**
     * Faulty variant: the read and the write are locked separately, so that updates can be lost.
     */
    @Param(name = "key", gen = IntGen.class, conf = "1:3")
    public static class NonAtomicAdd {
        private final Section<Integer, Integer> mSection = new Section<>();

        @Operation
        public int add(@Param(name = "key") int key) {
            int next = mSection.get(key).orElse(0) + 1;
            mSection.put(key, next);
            return next;
        }
    }
}
