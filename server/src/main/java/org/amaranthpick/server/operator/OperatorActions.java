package org.amaranthpick.server.operator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.InForceStatus;
import org.amaranthpick.core.explain.DecisionTrail;

/** What operators can ask of a daemon. */
public interface OperatorActions {
    /**
     * Tells why the daemon is not ready.
     *
     * @return reason, empty if it is ready
     */
    Optional<String> notReady();

    /**
     * Returns the metrics.
     *
     * @return Prometheus text format
     */
    String metrics();

    /**
     * Returns the status.
     *
     * @return typed status of this daemon
     */
    DaemonStatus status();

    /**
     * Returns the decisions on a request or resource.
     *
     * @param subject request id or resource key
     * @return entries, oldest first
     */
    List<DecisionTrail.Entry> explain(String subject);

    /**
     * Asks every failure domain where a generation is in force.
     *
     * @param generation the generation
     * @return answer; completes normally
     */
    CompletionStage<InForceStatus> inForce(long generation);

    /** Starts a graceful shutdown and returns at once. */
    void drain();
}
