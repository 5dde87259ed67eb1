package org.amaranthpick.core.explain;

/** Records decisions: one log line each, and one entry in the trail of its request. */
public interface DecisionLog {
    /**
     * Records one decision.
     *
     * @param kind kind of the decision
     * @param subject request id, or key of the resource decided on
     * @param text short sentence: what was decided and why
     */
    void record(DecisionKind kind, String subject, String text);
}
