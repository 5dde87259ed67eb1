package org.amaranthpick.core.gateway;

/**
 * Workspace and priority that a caller's API key maps to.
 *
 * @param workspace name of the workspace
 * @param priority priority of the workspace, 0 is the highest; overrides that of the route; -1 if
 *     not set
 */
public record Credential(String workspace, int priority) {}
