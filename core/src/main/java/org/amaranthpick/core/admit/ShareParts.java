package org.amaranthpick.core.admit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Fixed part of each limit that one failure domain may hand out: an equal share over the domains of
 * the workspace's fleet. It needs no message, so domains that are cut off from each other never
 * exceed a limit together.
 */
final class ShareParts {
    private final Map<Long, WorkspaceSpec> mWorkspaces = new HashMap<>();
    private final Map<String, List<Identity>> mDomains = new HashMap<>();

    /**
     * Part of a workspace's limits.
     *
     * @param requestsPerSecond requests per second
     * @param tokensPerSecond tokens per second
     * @param places requests in progress
     */
    record Part(double requestsPerSecond, double tokensPerSecond, int places) {
        /** Nothing. */
        static final Part NONE = new Part(0, 0, 0);

        /** Returns the smaller of two parts, limit by limit. */
        Part min(Part other) {
            return new Part(
                    Math.min(requestsPerSecond, other.requestsPerSecond),
                    Math.min(tokensPerSecond, other.tokensPerSecond),
                    Math.min(places, other.places));
        }
    }

    ShareParts(Configuration configuration) {
        for (WorkspaceSpec workspace : configuration.manifest().workspaces()) {
            mWorkspaces.put(code(workspace.id()), workspace);
        }
        for (String fleet : configuration.manifest().fleets()) {
            mDomains.put(
                    fleet,
                    configuration.manifest().domains().stream()
                            .map(DomainSpec::id)
                            .filter(id -> id.fleet().equals(fleet))
                            .sorted()
                            .toList());
        }
    }

    /** Returns the code that stands for a workspace in messages. */
    static long code(Identity workspace) {
        return Hashing.komihash5_0().hashCharsToLong(workspace.key());
    }

    Optional<WorkspaceSpec> workspace(long code) {
        return Optional.ofNullable(mWorkspaces.get(code));
    }

    /** Lists the domains that hand out the limits of a workspace. */
    List<Identity> domains(Identity workspace) {
        return mDomains.getOrDefault(workspace.fleet(), List.of());
    }

    /**
     * Returns the part of a domain. The parts of all domains sum up to the limit.
     *
     * @param code code of the workspace
     * @param domain identity of kind DOMAIN
     * @return the part, nothing if the domain is of another fleet
     */
    Part part(long code, Identity domain) {
        WorkspaceSpec workspace = mWorkspaces.get(code);
        if (workspace == null) {
            return Part.NONE;
        }
        List<Identity> domains = domains(workspace.id());
        int index = domains.indexOf(domain);
        if (index < 0) {
            return Part.NONE;
        }
        WorkspaceSpec.Limits limits = workspace.limits();
        int count = domains.size();
        int turn = (int) Math.floorMod(index + code, (long) count);
        int places = limits.concurrentRequests() / count;
        if (turn < limits.concurrentRequests() % count) {
            places++;
        }
        return new Part(
                limits.requestsPerSecond() / count, limits.tokensPerSecond() / count, places);
    }
}
