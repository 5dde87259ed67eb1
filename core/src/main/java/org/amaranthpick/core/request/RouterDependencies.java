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
 * Collaborators of the router.
 *
 * @param chainChooser selects the chains of model requests
 * @param chainFeedback receives the progress and failures of attempts
 * @param admission decides when a request may be sent
 * @param retryPolicy decides whether and when to retry
 * @param claims store of idempotency key claims
 * @param upstreamClient sends calls to upstreams
 * @param instanceChooser selects service instances
 * @param promptAnalyzer counts prompt tokens and hashes prompt blocks
 * @param scheduler clock and timers
 * @param decisionLog records the decisions on each request
 * @param invariants runtime checks of invariants
 */
public record RouterDependencies(
        ChainChooser chainChooser,
        ChainFeedback chainFeedback,
        Admission admission,
        RetryPolicy retryPolicy,
        Claims claims,
        UpstreamClient upstreamClient,
        ServiceInstanceChooser instanceChooser,
        PromptAnalyzer promptAnalyzer,
        Scheduler scheduler,
        DecisionLog decisionLog,
        Invariants invariants) {}
