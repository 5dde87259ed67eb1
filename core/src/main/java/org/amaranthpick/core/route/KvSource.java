package org.amaranthpick.core.route;

import org.amaranthpick.core.name.Identity;

/** Source of the KV cache of a hop's layers when an answer starts or is resumed. */
public sealed interface KvSource {
    /** The hop computes it from the prompt and the tokens emitted so far. */
    record Compute() implements KvSource {}

    /** The hop still holds it from a previous attempt of the same request. */
    record Keep() implements KvSource {}

    /**
     * The hop imports it from another upstream.
     *
     * @param from upstream that exports it
     */
    record Import(Identity from) implements KvSource {}
}
