package org.amaranthpick.server.operator;

import java.util.List;

/**
 * Status of one daemon.
 *
 * @param host host of the daemon
 * @param domain its failure domain
 * @param state {@code starting}, {@code serving} or {@code draining}
 * @param generation configuration generation in force, 0 before the first
 * @param digest digest of that configuration
 * @param requestsInProgress requests without an outcome
 * @param invariantViolations violations since the start
 * @param members daemons known
 * @param upstreams upstreams observed
 */
public record DaemonStatus(
        String host,
        String domain,
        String state,
        long generation,
        String digest,
        int requestsInProgress,
        long invariantViolations,
        List<MemberStatus> members,
        List<UpstreamState> upstreams) {

    /**
     * One daemon as this one believes it.
     *
     * @param host host
     * @param domain failure domain
     * @param state state believed
     */
    public record MemberStatus(String host, String domain, String state) {}

    /**
     * One upstream as this daemon believes it.
     *
     * @param upstream upstream
     * @param reachability {@code reachable}, {@code suspect} or {@code lost}
     * @param leaving true if it takes no new work
     * @param runningStreams streams running at the last report
     * @param reportAgeMs age of the last report
     */
    public record UpstreamState(
            String upstream,
            String reachability,
            boolean leaving,
            int runningStreams,
            long reportAgeMs) {}

    /** Copies the lists. */
    public DaemonStatus {
        members = List.copyOf(members);
        upstreams = List.copyOf(upstreams);
    }
}
