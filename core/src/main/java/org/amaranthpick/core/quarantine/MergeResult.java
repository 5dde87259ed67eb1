package org.amaranthpick.core.quarantine;

/** Result of taking in what another daemon reports. */
public enum MergeResult {
    /** It was known already, or does not count. */
    KNOWN,
    /** It was news of a request that has met one crash at most. */
    NOTED,
    /** It was news that concerns all daemons. */
    NEWS,
    /** This daemon has seen an answer that clears the part of a reported crash. */
    CONTRADICTED
}
