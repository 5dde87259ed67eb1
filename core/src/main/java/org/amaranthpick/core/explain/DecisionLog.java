package org.amaranthpick.core.explain;

/** Records the decisions on requests and resources, with the reasons. */
public interface DecisionLog {
    /**
     * Records one decision.
     *
     * @param kind kind of the decision
     * @param subject request id, or key of the resource that the decision concerns
     * @param text decision and its reason in a short sentence
     */
    void record(DecisionKind kind, String subject, String text);
}
