package org.amaranthpick.core.admit;

import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Limits of workspaces as far as this daemon may use them. Implementations are thread-safe and do
 * not block.
 */
public interface WorkspaceLimits {
    /**
     * Charges one request to the limits: one slot, one request of the rate limit and its tokens.
     *
     * @param workspace the workspace
     * @param tokens tokens to charge
     * @return false if one of the limits is reached; nothing is charged then
     */
    boolean tryStart(WorkspaceSpec workspace, int tokens);

    /**
     * Releases the slot of a request and replaces the tokens charged by those used.
     *
     * @param workspace the workspace
     * @param chargedTokens tokens charged at the start
     * @param usedTokens tokens used
     */
    void finish(WorkspaceSpec workspace, int chargedTokens, int usedTokens);

    /**
     * Reports the requests that wait for a limit.
     *
     * @param workspace the workspace
     * @param requests number of waiting requests
     * @param tokens tokens of these requests
     */
    void reportWaiting(WorkspaceSpec workspace, int requests, long tokens);

    /**
     * Registers a listener that is called when waiting requests may be able to start.
     *
     * @param listener called without any lock held
     */
    void onChange(Runnable listener);
}
