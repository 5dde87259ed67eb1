package org.amaranthpick.core.gateway;

import java.util.Optional;

/** What the answer of an upstream says about the request. */
public sealed interface UpstreamVerdict {
    /** The upstream answered with success. */
    record Success() implements UpstreamVerdict {}

    /** The upstream ran the request, or may have, and answered with a failure. */
    record Failure() implements UpstreamVerdict {}

    /**
     * The request has not run and will not.
     *
     * @param blamed address of the upstream at fault, where the answer names it
     * @param misdirected whether the address belongs to another upstream, or a part is not held
     */
    record NotRun(Optional<String> blamed, boolean misdirected) implements UpstreamVerdict {}

    /** The answer belongs to no request or to another one. */
    record Foreign() implements UpstreamVerdict {}
}
