package org.amaranthpick.core.request;

import org.amaranthpick.core.admit.Admission;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.retry.RetryPolicy;
import org.amaranthpick.core.route.ChainChooser;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.UpstreamClient;

/**
 * What the router decides and acts with.
 *
 * @param chooser chooses chains
 * @param feedback told of attempts
 * @param admission decides when a request may be sent
 * @param retries decides on further attempts
 * @param claims claims of idempotency keys
 * @param upstreams speaks to upstreams
 * @param instances chooses service instances
 * @param prompts counts and hashes prompts
 * @param scheduler clock and timers
 * @param decisions decision log
 * @param invariants checks that always hold
 */
public record RouterParts(
        ChainChooser chooser,
        ChainFeedback feedback,
        Admission admission,
        RetryPolicy retries,
        Claims claims,
        UpstreamClient upstreams,
        ServiceInstanceChooser instances,
        PromptAnalyzer prompts,
        Scheduler scheduler,
        DecisionLog decisions,
        Invariants invariants) {}
