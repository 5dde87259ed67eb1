package org.amaranthpick.server.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** An error of the virtual machine was swallowed by the I/O thread, whatever state was left. */
class TaskFailuresTest {
    private final List<Integer> mEnds = new ArrayList<>();
    private final List<String> mTasks = new ArrayList<>();
    private final TaskFailures mFailures = new TaskFailures(mEnds::add);

    static Stream<Throwable> failuresOfOneStep() {
        return Stream.of(
                new IllegalStateException(),
                new StackOverflowError(),
                new OutOfMemoryError("Cannot reserve 16384 bytes of direct buffer memory"),
                new AssertionError(),
                new NoClassDefFoundError(),
                new ExceptionInInitializerError());
    }

    static Stream<Throwable> failuresOfTheVirtualMachine() {
        return Stream.of(new OutOfMemoryError(), new InternalError(), new UnknownError());
    }

    @ParameterizedTest
    @MethodSource("failuresOfOneStep")
    void aFailureOfOneStepIsCounted(Throwable failure) {
        mFailures.setListener(mTasks::add);
        mFailures.report("t", failure);
        assertEquals(List.of(), mEnds);
        assertEquals(List.of("t"), mTasks);
        assertEquals(1, mFailures.count());
    }

    @ParameterizedTest
    @MethodSource("failuresOfTheVirtualMachine")
    void anErrorOfTheVirtualMachineEndsTheProcess(Throwable failure) {
        mFailures.report("t", failure);
        assertEquals(List.of(3), mEnds);
    }
}
