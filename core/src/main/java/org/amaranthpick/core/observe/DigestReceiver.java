package org.amaranthpick.core.observe;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;

/** Takes digests of other observers, forwards those it relays, and writes the upstream section. */
final class DigestReceiver {
    private static final String FAR_PREFIX = "far/";

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final Assignments mAssignments;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final Map<String, Source> mSources = new ConcurrentHashMap<>();
    private final Map<Identity, StatusFacts> mFacts = new ConcurrentHashMap<>();
    private final Map<Identity, Waiting> mWaiting = new ConcurrentHashMap<>();
    private final Map<Identity, Reachability> mTold = new ConcurrentHashMap<>();
    private Configuration mCodesOf;
    private UpstreamCodes mCodes;

    /** State of one observer and route. */
    private static final class Source {
        private final ClockOffset mOffset = new ClockOffset();
        private final Set<Identity> mUpstreams = new HashSet<>();
        private long mSequence;

        private boolean mComplete;

        synchronized void repaired() {
            mComplete = true;
        }

        /** Notes the number of a digest; a gap leaves the source incomplete until repaired. */
        void accept(ObserveMessage.Digest digest) {
            if (digest.route() == ObserveMessage.Route.REPAIR) {
                mComplete = true;
                return;
            }
            boolean next = digest.sequence() == mSequence + 1;
            boolean repeat = digest.sequence() == mSequence;
            if (!next && !repeat) {
                mUpstreams.clear();
                mComplete = false;
            }
            mSequence = digest.sequence();
        }
    }

    /** Entry that waits for the facts of its upstream. */
    private record Waiting(LoadEntry entry, long sentMs) {}

    DigestReceiver(Observation.Context context, Assignments assignments) {
        mBoard = context.board();
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mAssignments = assignments;
        mPeers.handle(ObserveMessage.DIGEST_TAG, this::onMessage);
        mPeers.handle(ObserveMessage.FACTS_TAG, this::onMessage);
        mPeers.handle(ObserveMessage.FACTS_PULL_TAG, this::onMessage);
    }

    /** Returns the codes of a configuration; kept until another is asked for. */
    synchronized UpstreamCodes codes(Configuration configuration) {
        if (mCodesOf == null || mCodesOf.generation() != configuration.generation()) {
            mCodes = new UpstreamCodes(configuration);
            mCodesOf = configuration;
        }
        return mCodes;
    }

    /** Returns what the other observer last said of an upstream that this daemon observes too. */
    Optional<Reachability> toldReachability(Identity upstream) {
        return Optional.ofNullable(mTold.get(upstream));
    }

    private void onMessage(Identity from, PeerMessage message) {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return;
        }
        UpstreamCodes codes = codes(configuration.get());
        if (message instanceof ObserveMessage.Digest digest) {
            onDigest(from, digest, codes);
        } else if (message instanceof ObserveMessage.Facts facts) {
            onFacts(configuration.get(), facts);
        } else if (message instanceof ObserveMessage.FactsPull pull) {
            onPull(from, pull, codes);
        }
    }

    private void onDigest(Identity from, ObserveMessage.Digest digest, UpstreamCodes codes) {
        if (digest.route() == ObserveMessage.Route.TO_RELAY) {
            forward(from, digest);
        }
        if (digest.salt() != codes.salt()) {
            return;
        }
        String origin = digest.origin().isEmpty() ? from.key() : digest.origin();
        boolean near =
                digest.route() == ObserveMessage.Route.DIRECT
                        || digest.route() == ObserveMessage.Route.REPAIR;
        Source source = sourceOf(origin, near);
        List<Integer> unknown = new ArrayList<>();
        boolean complete;
        synchronized (source) {
            long nowMs = mScheduler.instant().toEpochMilli();
            long sentMs = source.mOffset.localTime(digest.sentAtMs(), nowMs);
            source.accept(digest);
            complete = source.mComplete;
            Set<Identity> told = new HashSet<>();
            for (LoadEntry entry : digest.entries()) {
                Optional<Identity> upstream = codes.upstream(entry.code());
                if (upstream.isPresent()) {
                    told.add(upstream.get());
                    apply(upstream.get(), entry, sentMs, unknown);
                }
            }
            if (digest.route() != ObserveMessage.Route.REPAIR) {
                refresh(source, told, sentMs);
                source.mUpstreams.addAll(told);
            }
        }
        if (!unknown.isEmpty()) {
            mPeers.send(from, new ObserveMessage.FactsPull(codes.salt(), unknown));
        }
        if (digest.route() == ObserveMessage.Route.REPAIR) {
            sourceOf(origin, false).repaired();
        } else if (!complete) {
            pullAll(origin, codes);
        }
    }

    private Source sourceOf(String origin, boolean near) {
        String key = near ? origin : FAR_PREFIX + origin;
        return mSources.computeIfAbsent(key, unused -> new Source());
    }

    /** Asks an observer for all that it observes, after a digest of it was lost. */
    private void pullAll(String origin, UpstreamCodes codes) {
        for (Member member : mMembers.members()) {
            if (member.host().key().equals(origin)) {
                mPeers.send(member.host(), new ObserveMessage.FactsPull(codes.salt(), List.of()));
            }
        }
    }

    private void sendAll(Identity to, UpstreamCodes codes) {
        long nowMs = mScheduler.instant().toEpochMilli();
        List<LoadEntry> entries = new ArrayList<>();
        for (Identity upstream : mAssignments.current().keySet()) {
            Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
            if (seen.isPresent()) {
                long ageMs = Math.max(0, nowMs - seen.get().sampledAt().toEpochMilli());
                entries.add(LoadEntry.of(codes.code(upstream), (int) ageMs, seen.get()));
            }
        }
        mPeers.send(
                to,
                new ObserveMessage.Digest(
                        "", 0, nowMs, codes.salt(), ObserveMessage.Route.REPAIR, entries));
    }

    private void forward(Identity from, ObserveMessage.Digest digest) {
        ObserveMessage.Digest forwarded =
                new ObserveMessage.Digest(
                        from.key(),
                        digest.sequence(),
                        digest.sentAtMs(),
                        digest.salt(),
                        ObserveMessage.Route.FORWARDED,
                        digest.entries());
        Member self = mMembers.self();
        for (Member member : mMembers.members()) {
            boolean other = !member.host().equals(self.host());
            if (other && member.domain().equals(self.domain())) {
                mPeers.send(member.host(), forwarded);
            }
        }
    }

    private void apply(Identity upstream, LoadEntry entry, long sentMs, List<Integer> unknown) {
        if (mAssignments.current().containsKey(upstream)) {
            mTold.put(upstream, entry.reachability());
            return;
        }
        StatusFacts facts = mFacts.get(upstream);
        if (facts == null || (facts.digest() & 0xffff) != entry.facts()) {
            unknown.add(entry.code());
        }
        if (facts == null) {
            mWaiting.put(upstream, new Waiting(entry, sentMs));
            return;
        }
        write(upstream, facts, entry, sentMs);
    }

    private void write(Identity upstream, StatusFacts facts, LoadEntry entry, long sentMs) {
        Instant sampledAt = Instant.ofEpochMilli(sentMs - entry.ageMs());
        write(
                new UpstreamObservation(
                        upstream,
                        facts.status(entry, sampledAt.toEpochMilli()),
                        sampledAt,
                        entry.reachability()));
    }

    /** Silence means unchanged while no digest of the source is missing. */
    private void refresh(Source source, Set<Identity> told, long sentMs) {
        Instant sentAt = Instant.ofEpochMilli(sentMs);
        for (Identity upstream : source.mUpstreams) {
            if (told.contains(upstream) || mAssignments.current().containsKey(upstream)) {
                continue;
            }
            Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
            if (seen.isPresent() && seen.get().sampledAt().isBefore(sentAt)) {
                UpstreamObservation last = seen.get();
                write(
                        new UpstreamObservation(
                                upstream, last.status(), sentAt, last.reachability()));
            }
        }
    }

    private void write(UpstreamObservation observation) {
        mBoard.upstreams()
                .update(
                        observation.upstream(),
                        observation,
                        old ->
                                old.sampledAt().isAfter(observation.sampledAt())
                                        ? old
                                        : observation);
    }

    private void onFacts(Configuration configuration, ObserveMessage.Facts message) {
        Identity upstream = message.upstream();
        if (configuration.upstream(upstream).isEmpty()) {
            return;
        }
        mFacts.put(upstream, message.facts());
        Waiting waiting = mWaiting.remove(upstream);
        if (waiting != null) {
            write(upstream, message.facts(), waiting.entry(), waiting.sentMs());
        }
        Optional<UpstreamObservation> seen = mBoard.upstreams().get(upstream);
        if (seen.isPresent() && !mAssignments.current().containsKey(upstream)) {
            UpstreamObservation last = seen.get();
            StatusFacts facts = message.facts();
            mBoard.upstreams()
                    .put(
                            upstream,
                            new UpstreamObservation(
                                    upstream,
                                    facts.appliedTo(last.status()),
                                    last.sampledAt(),
                                    last.reachability()));
        }
    }

    private void onPull(Identity from, ObserveMessage.FactsPull pull, UpstreamCodes codes) {
        if (pull.salt() != codes.salt()) {
            return;
        }
        if (pull.codes().isEmpty()) {
            sendAll(from, codes);
        }
        for (int code : pull.codes()) {
            Optional<Identity> upstream = codes.upstream(code);
            Optional<UpstreamObservation> seen = upstream.flatMap(id -> mBoard.upstreams().get(id));
            if (seen.isPresent()) {
                mPeers.send(
                        from,
                        new ObserveMessage.Facts(
                                upstream.get(), StatusFacts.of(seen.get().status())));
            }
        }
    }
}
