package org.amaranthpick.core.observe;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/**
 * Sends digests of the upstreams that this daemon observes: directly to the daemons of its own
 * domain, and at a lower rate through one relay in each other domain. Unchanged entries are
 * omitted. The secondary observer of an upstream reports it only if its reachability differs from
 * the one that the primary observer reported.
 */
final class DigestSender implements Controller {
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final String RELAY_KEY_PREFIX = "relay/";

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final ObserverAssignments mAssignments;
    private final DigestReceiver mReceiver;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final DigestDeltaTracker mNearTracker;
    private final DigestDeltaTracker mFarTracker;

    DigestSender(
            Observation.Context context, ObserverAssignments assignments, DigestReceiver receiver) {
        mBoard = context.board();
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mAssignments = assignments;
        mReceiver = receiver;
        DigestSettings settings = context.settings();
        mNearTracker = deltaTracker(settings, settings.nearPeriod(), settings.nearDigestsPerFull());
        mFarTracker = deltaTracker(settings, settings.farPeriod(), settings.farDigestsPerFull());
    }

    private static DigestDeltaTracker deltaTracker(
            DigestSettings settings, Duration period, int digestsPerFull) {
        return new DigestDeltaTracker(period.toNanos(), digestsPerFull, settings.minStreamChange());
    }

    @Override
    public String name() {
        return "digest-sender";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public void step() {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return;
        }
        UpstreamCodes codes = mReceiver.codes(configuration.get());
        Map<Identity, LoadEntry> entries = entries(codes);
        if (entries.isEmpty()) {
            return;
        }
        long nowNs = mScheduler.monotonicNs();
        mNearTracker
                .nextEntries(nowNs, entries)
                .ifPresent(changed -> sendNear(digest(mNearTracker, codes, changed, true)));
        mFarTracker
                .nextEntries(nowNs, entries)
                .ifPresent(changed -> sendFar(digest(mFarTracker, codes, changed, false)));
    }

    private Map<Identity, LoadEntry> entries(UpstreamCodes codes) {
        long nowMs = mScheduler.instant().toEpochMilli();
        Map<Identity, LoadEntry> entries = new HashMap<>();
        mAssignments
                .current()
                .forEach(
                        (upstream, assignment) -> {
                            Optional<UpstreamObservation> observation =
                                    mBoard.upstreams().get(upstream);
                            if (observation.isPresent()
                                    && shouldReport(upstream, assignment, observation.get())) {
                                entries.put(
                                        upstream, entry(codes, upstream, observation.get(), nowMs));
                            }
                        });
        return entries;
    }

    private boolean shouldReport(
            Identity upstream,
            ObserverAssignments.Assignment assignment,
            UpstreamObservation observation) {
        if (assignment.rank() == 0) {
            return true;
        }
        return mReceiver
                .peerReachability(upstream)
                .map(reported -> reported != observation.reachability())
                .orElse(false);
    }

    private static LoadEntry entry(
            UpstreamCodes codes, Identity upstream, UpstreamObservation observation, long nowMs) {
        boolean isReachable = observation.reachability() == Reachability.REACHABLE;
        long ageMs = isReachable ? nowMs - observation.sampledAt().toEpochMilli() : 0;
        return LoadEntry.of(codes.code(upstream), (int) Math.max(0, ageMs), observation);
    }

    private ObserveMessage.Digest digest(
            DigestDeltaTracker tracker,
            UpstreamCodes codes,
            List<LoadEntry> entries,
            boolean isNear) {
        return new ObserveMessage.Digest(
                "",
                tracker.sequence(),
                mScheduler.instant().toEpochMilli(),
                codes.salt(),
                isNear ? ObserveMessage.Route.DIRECT : ObserveMessage.Route.TO_RELAY,
                entries);
    }

    private void sendNear(ObserveMessage.Digest digest) {
        Member self = mMembers.self();
        for (Member member : mMembers.members()) {
            boolean isOther = !member.host().equals(self.host());
            if (isOther && member.domain().equals(self.domain())) {
                mPeers.send(member.host(), digest);
            }
        }
    }

    private void sendFar(ObserveMessage.Digest digest) {
        Member self = mMembers.self();
        Map<Identity, List<Member>> domains = new TreeMap<>();
        for (Member member : mMembers.members()) {
            if (!member.domain().equals(self.domain()) && member.state().acceptsWork()) {
                domains.computeIfAbsent(member.domain(), key -> new ArrayList<>()).add(member);
            }
        }
        String key = RELAY_KEY_PREFIX + self.host().key();
        for (List<Member> members : domains.values()) {
            mPeers.send(Rendezvous.rank(key, members, 1).get(0).host(), digest);
        }
    }
}
