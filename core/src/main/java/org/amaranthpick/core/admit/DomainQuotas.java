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
 * Quotas of the failure domains: the fixed part of every limit that each domain may grant, an equal
 * share for all domains of the workspace's fleet. Quotas follow from the configuration without
 * communication, so that partitioned domains cannot exceed a limit together.
 */
final class DomainQuotas {
    private final Map<Long, WorkspaceSpec> mWorkspaces = new HashMap<>();
    private final Map<String, List<Identity>> mDomains = new HashMap<>();

    /**
     * Quota of one domain for one workspace.
     *
     * @param requestsPerSecond requests per second
     * @param tokensPerSecond tokens per second
     * @param slots requests in progress
     */
    record Quota(double requestsPerSecond, double tokensPerSecond, int slots) {
        /** Quota of zero. */
        static final Quota NONE = new Quota(0, 0, 0);

        /** Returns the minimum of two quotas, limit by limit. */
        Quota min(Quota other) {
            return new Quota(
                    Math.min(requestsPerSecond, other.requestsPerSecond),
                    Math.min(tokensPerSecond, other.tokensPerSecond),
                    Math.min(slots, other.slots));
        }
    }

    DomainQuotas(Configuration configuration) {
        for (WorkspaceSpec workspace : configuration.manifest().workspaces()) {
            mWorkspaces.put(workspaceCode(workspace.id()), workspace);
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

    /** Returns the hash code that identifies a workspace in messages. */
    static long workspaceCode(Identity workspace) {
        return Hashing.komihash5_0().hashCharsToLong(workspace.key());
    }

    Optional<WorkspaceSpec> workspace(long workspaceCode) {
        return Optional.ofNullable(mWorkspaces.get(workspaceCode));
    }

    /** Lists the domains that grant shares of the limits of a workspace. */
    List<Identity> domains(Identity workspace) {
        return mDomains.getOrDefault(workspace.fleet(), List.of());
    }

    /**
     * Returns the quota of a domain. The quotas of all domains add up to the limit.
     *
     * @param workspaceCode code of the workspace
     * @param domain identity of kind DOMAIN
     * @return quota, zero if the workspace is unknown or the domain belongs to another fleet
     */
    Quota quota(long workspaceCode, Identity domain) {
        WorkspaceSpec workspace = mWorkspaces.get(workspaceCode);
        if (workspace == null) {
            return Quota.NONE;
        }
        List<Identity> domains = domains(workspace.id());
        int index = domains.indexOf(domain);
        if (index < 0) {
            return Quota.NONE;
        }
        WorkspaceSpec.Limits limits = workspace.limits();
        int domainCount = domains.size();
        int remainderIndex = (int) Math.floorMod(index + workspaceCode, (long) domainCount);
        int slots = limits.concurrentRequests() / domainCount;
        if (remainderIndex < limits.concurrentRequests() % domainCount) {
            slots++;
        }
        return new Quota(
                limits.requestsPerSecond() / domainCount,
                limits.tokensPerSecond() / domainCount,
                slots);
    }
}
