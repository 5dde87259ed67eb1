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
 * Tells the other daemons of the upstreams that this one observes: its own domain directly, every
 * other domain through one relay there at a lower rate. Entries that did not change are left out.
 * The second observer of an upstream speaks only where it disagrees with the first.
 */
final class DigestSender implements Controller {
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final String RELAY_PREFIX = "relay/";

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final Assignments mAssignments;
    private final DigestReceiver mReceiver;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final DigestAudience mNear;
    private final DigestAudience mFar;

    DigestSender(Observation.Context context, Assignments assignments, DigestReceiver receiver) {
        mBoard = context.board();
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mAssignments = assignments;
        mReceiver = receiver;
        DigestSettings settings = context.settings();
        mNear = audience(settings, settings.nearPeriod(), settings.nearRefresh());
        mFar = audience(settings, settings.farPeriod(), settings.farRefresh());
    }

    private static DigestAudience audience(
            DigestSettings settings, Duration period, int refreshEvery) {
        return new DigestAudience(period.toNanos(), refreshEvery, settings.minStreamChange());
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
        mNear.next(nowNs, entries)
                .ifPresent(changed -> sendNear(digest(mNear, codes, changed, true)));
        mFar.next(nowNs, entries)
                .ifPresent(changed -> sendFar(digest(mFar, codes, changed, false)));
    }

    private Map<Identity, LoadEntry> entries(UpstreamCodes codes) {
        long nowMs = mScheduler.instant().toEpochMilli();
        Map<Identity, LoadEntry> entries = new HashMap<>();
        mAssignments
                .current()
                .forEach(
                        (upstream, assignment) -> {
                            Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
                            if (seen.isPresent() && speaksFor(upstream, assignment, seen.get())) {
                                entries.put(upstream, entry(codes, upstream, seen.get(), nowMs));
                            }
                        });
        return entries;
    }

    private boolean speaksFor(
            Identity upstream, Assignments.Assignment assignment, UpstreamObservation seen) {
        if (assignment.rank() == 0) {
            return true;
        }
        return mReceiver
                .toldReachability(upstream)
                .map(told -> told != seen.reachability())
                .orElse(false);
    }

    private static LoadEntry entry(
            UpstreamCodes codes, Identity upstream, UpstreamObservation seen, long nowMs) {
        boolean reachable = seen.reachability() == Reachability.REACHABLE;
        long ageMs = reachable ? nowMs - seen.sampledAt().toEpochMilli() : 0;
        return LoadEntry.of(codes.code(upstream), (int) Math.max(0, ageMs), seen);
    }

    private ObserveMessage.Digest digest(
            DigestAudience audience, UpstreamCodes codes, List<LoadEntry> entries, boolean near) {
        return new ObserveMessage.Digest(
                "",
                audience.sequence(),
                mScheduler.instant().toEpochMilli(),
                codes.salt(),
                near ? ObserveMessage.Route.DIRECT : ObserveMessage.Route.TO_RELAY,
                entries);
    }

    private void sendNear(ObserveMessage.Digest digest) {
        Member self = mMembers.self();
        for (Member member : mMembers.members()) {
            boolean other = !member.host().equals(self.host());
            if (other && member.domain().equals(self.domain())) {
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
        String key = RELAY_PREFIX + self.host().key();
        for (List<Member> members : domains.values()) {
            mPeers.send(Rendezvous.rank(key, members, 1).get(0).host(), digest);
        }
    }
}
