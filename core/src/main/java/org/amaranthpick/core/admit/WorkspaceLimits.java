package org.amaranthpick.core.admit;

import org.amaranthpick.core.manifest.WorkspaceSpec;

/** Limits of workspaces as far as this daemon may use them. Thread-safe; never blocks. */
public interface WorkspaceLimits {
    /**
     * Takes one request in progress, one request and its tokens.
     *
     * @param workspace the workspace
     * @param tokens tokens counted
     * @return false if one of them is not there; nothing is taken then
     */
    boolean tryStart(WorkspaceSpec workspace, int tokens);

    /**
     * Gives back the request in progress and corrects the tokens.
     *
     * @param workspace the workspace
     * @param counted tokens counted at the start
     * @param used tokens really used
     */
    void finish(WorkspaceSpec workspace, int counted, int used);

    /**
     * Tells how much waits for a limit.
     *
     * @param workspace the workspace
     * @param requests requests that wait
     * @param tokens their tokens
     */
    void waiting(WorkspaceSpec workspace, int requests, long tokens);

    /**
     * Registers a listener that is told when requests may start that could not before.
     *
     * @param listener told without any lock held
     */
    void onChange(Runnable listener);
}
