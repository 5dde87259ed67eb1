package org.amaranthpick.core.time;

/** Handle of a scheduled task or a pending request. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels the task or request if it has not started; otherwise does nothing. */
    void cancel();
}
