package org.amaranthpick.core.route;

import org.amaranthpick.core.name.Identity;

/** Where a hop takes the KV cache of its layers from when an answer starts or resumes. */
public sealed interface KvSource {
    /** The hop computes it from the prompt and the tokens emitted so far. */
    record Compute() implements KvSource {}

    /** The hop still holds it from an earlier attempt of the same request. */
    record Keep() implements KvSource {}

    /**
     * The hop imports it from another upstream.
     *
     * @param from upstream that exports it
     */
    record Import(Identity from) implements KvSource {}
}
