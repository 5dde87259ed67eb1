package org.amaranthpick.core.gateway;

import java.util.Optional;

/** Meaning of an upstream's response for the request. */
public sealed interface UpstreamVerdict {
    /** The request succeeded. */
    record Success() implements UpstreamVerdict {}

    /** The request failed, and the upstream ran it or may have run it. */
    record Failure() implements UpstreamVerdict {}

    /**
     * The request has not run and will not run.
     *
     * @param faultyAddress address of the upstream at fault, if the response names it
     * @param misdirected whether another upstream has the address, or an engine doesn't hold the
     *     layers that the request expects
     */
    record NotRun(Optional<String> faultyAddress, boolean misdirected) implements UpstreamVerdict {}

    /**
     * The response belongs to another request, or its body is not the upstream's own.
     *
     * @param reason what shows it, for logs
     */
    record Foreign(String reason) implements UpstreamVerdict {}
}
