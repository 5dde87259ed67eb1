package org.amaranthpick.server.caller;

/**
 * Body of a chat completion or completion call.
 *
 * @param model pipeline named by the caller
 * @param prompt prompt text
 * @param maxTokens tokens of the answer at most
 * @param stream true if tokens are to be streamed
 * @param chat true for a chat completion, false for a completion
 */
record ModelCall(String model, String prompt, int maxTokens, boolean stream, boolean chat) {}
