package org.amaranthpick.core.time;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps the repeated tasks of a daemon going after any exception or error. An odd value in the
 * store or a message could otherwise end a task that plans its next run as its last statement,
 * while the daemon looks sound. What fails is reported to the scheduler, which logs and counts it.
 */
public final class TaskGuard {
    private final Scheduler mScheduler;

    /**
     * Creates a guard.
     *
     * @param scheduler timers; receives the failures
     */
    public TaskGuard(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Runs a step; reports an exception or error instead of passing it on.
     *
     * @param task name of the task, for the log and the metrics
     * @param step step to run
     */
    public void run(String task, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mScheduler.onTaskFailed(task, e);
        }
    }

    /**
     * Runs a step, then what plans the next one, even if the step failed.
     *
     * @param task name of the task
     * @param step step to run
     * @param afterwards runs after the step
     */
    public void run(String task, Runnable step, Runnable afterwards) {
        try {
            run(task, step);
        } finally {
            afterwards.run();
        }
    }

    /**
     * Runs a step again and again.
     *
     * @param task name of the task
     * @param period time from the end of a run to the next
     * @param ended checked before each run; the task ends once it is true
     * @param step step to run
     */
    public void repeat(String task, Duration period, BooleanSupplier ended, Runnable step) {
        if (!ended.getAsBoolean()) {
            run(
                    task,
                    step,
                    () -> mScheduler.schedule(period, () -> repeat(task, period, ended, step)));
        }
    }

    /**
     * Starts a call and handles its result, then runs what plans the next one: also if the call
     * could not be started, ended exceptionally, or its result could not be handled.
     *
     * @param task name of the task
     * @param executor runs all but the start of the call
     * @param call starts the call
     * @param onResult handles its result
     * @param afterwards runs once, after that
     * @param <T> type of the result
     */
    public <T> void call(
            String task,
            Executor executor,
            Supplier<CompletionStage<T>> call,
            Consumer<T> onResult,
            Runnable afterwards) {
        CompletionStage<T> stage;
        try {
            stage = call.get();
        } catch (RuntimeException | Error e) {
            executor.execute(() -> run(task, () -> rethrow(e), afterwards));
            return;
        }
        stage.whenComplete(
                (result, failure) ->
                        executor.execute(
                                () ->
                                        run(
                                                task,
                                                () -> {
                                                    rethrow(failure);
                                                    onResult.accept(result);
                                                },
                                                afterwards)));
    }

    private static void rethrow(Throwable failure) {
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure != null) {
            throw new CompletionException(failure);
        }
    }
}
