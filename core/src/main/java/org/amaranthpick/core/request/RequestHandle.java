package org.amaranthpick.core.request;

/** Handle of a submitted request. */
public interface RequestHandle {
    /** Stops the flow of tokens until {@link #resume()}. */
    void pause();

    /** Lets tokens flow again. */
    void resume();

    /** The caller went away: cancels all work for the request. */
    void cancel();
}
