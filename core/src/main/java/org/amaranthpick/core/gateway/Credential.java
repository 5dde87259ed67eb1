package org.amaranthpick.core.gateway;

/**
 * Whom a credential stands for.
 *
 * @param workspace name of the workspace
 * @param priority rank of the workspace, 0 first; goes before the route's; -1 for none
 */
public record Credential(String workspace, int priority) {}
