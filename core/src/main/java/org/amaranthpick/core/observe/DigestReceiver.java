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

/**
 * Receives the digests of other observers, forwards those that this daemon relays, and writes the
 * upstream section of the blackboard.
 */
final class DigestReceiver {
    private static final String FAR_SOURCE_PREFIX = "far/";

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final ObserverAssignments mAssignments;
    private final PeerNetwork mPeers;
    private final Scheduler mScheduler;
    private final Map<String, Source> mSources = new ConcurrentHashMap<>();
    private final Map<Identity, UpstreamMetadata> mMetadata = new ConcurrentHashMap<>();
    private final Map<Identity, PendingEntry> mPendingEntries = new ConcurrentHashMap<>();
    private final Map<Identity, Reachability> mPeerReachability = new ConcurrentHashMap<>();
    private Configuration mCodesConfiguration;
    private UpstreamCodes mCodes;

    /** State of the digests of one observer, separate for direct and relayed digests. */
    private static final class Source {
        private final ClockOffsetEstimator mOffset = new ClockOffsetEstimator();
        private final Set<Identity> mUpstreams = new HashSet<>();
        private long mSequence;
        private boolean mComplete;

        synchronized void markComplete() {
            mComplete = true;
        }

        /**
         * Records the sequence number of a digest. A gap marks the source as incomplete until a
         * repair digest arrives.
         */
        void recordSequence(ObserveMessage.Digest digest) {
            if (digest.route() == ObserveMessage.Route.REPAIR) {
                mComplete = true;
                return;
            }
            boolean isNext = digest.sequence() == mSequence + 1;
            boolean isRepeat = digest.sequence() == mSequence;
            if (!isNext && !isRepeat) {
                mUpstreams.clear();
                mComplete = false;
            }
            mSequence = digest.sequence();
        }
    }

    /** Entry that is applied when the metadata of its upstream arrives. */
    private record PendingEntry(LoadEntry entry, long sentMs) {}

    DigestReceiver(Observation.Context context, ObserverAssignments assignments) {
        mBoard = context.board();
        mConfiguration = context.configuration();
        mMembers = context.members();
        mPeers = context.peers();
        mScheduler = context.scheduler();
        mAssignments = assignments;
        mPeers.handle(ObserveMessage.DIGEST_TAG, this::onMessage);
        mPeers.handle(ObserveMessage.METADATA_TAG, this::onMessage);
        mPeers.handle(ObserveMessage.METADATA_REQUEST_TAG, this::onMessage);
    }

    /** Returns the upstream codes of a configuration; the latest result is cached. */
    synchronized UpstreamCodes codes(Configuration configuration) {
        if (mCodesConfiguration == null
                || mCodesConfiguration.generation() != configuration.generation()) {
            mCodes = new UpstreamCodes(configuration);
            mCodesConfiguration = configuration;
        }
        return mCodes;
    }

    /** Returns the reachability that the other observer last reported for an observed upstream. */
    Optional<Reachability> peerReachability(Identity upstream) {
        return Optional.ofNullable(mPeerReachability.get(upstream));
    }

    private void onMessage(Identity from, PeerMessage message) {
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isEmpty()) {
            return;
        }
        UpstreamCodes codes = codes(configuration.get());
        if (message instanceof ObserveMessage.Digest digest) {
            onDigest(from, digest, codes);
        } else if (message instanceof ObserveMessage.Metadata metadata) {
            onMetadata(configuration.get(), metadata);
        } else if (message instanceof ObserveMessage.MetadataRequest request) {
            onMetadataRequest(from, request, codes);
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
        boolean isNear =
                digest.route() == ObserveMessage.Route.DIRECT
                        || digest.route() == ObserveMessage.Route.REPAIR;
        Source source = sourceOf(origin, isNear);
        List<Integer> missingMetadata = new ArrayList<>();
        boolean isComplete;
        synchronized (source) {
            long nowMs = mScheduler.instant().toEpochMilli();
            long sentMs = source.mOffset.localSendTimeMs(digest.sentAtMs(), nowMs);
            source.recordSequence(digest);
            isComplete = source.mComplete;
            Set<Identity> reported = new HashSet<>();
            for (LoadEntry entry : digest.entries()) {
                Optional<Identity> upstream = codes.upstream(entry.code());
                if (upstream.isPresent()) {
                    reported.add(upstream.get());
                    apply(upstream.get(), entry, sentMs, missingMetadata);
                }
            }
            if (digest.route() != ObserveMessage.Route.REPAIR) {
                refreshUnchanged(source, reported, sentMs);
                source.mUpstreams.addAll(reported);
            }
        }
        if (!missingMetadata.isEmpty()) {
            mPeers.send(from, new ObserveMessage.MetadataRequest(codes.salt(), missingMetadata));
        }
        if (digest.route() == ObserveMessage.Route.REPAIR) {
            sourceOf(origin, false).markComplete();
        } else if (!isComplete) {
            requestFullDigest(origin, codes);
        }
    }

    private Source sourceOf(String origin, boolean isNear) {
        String key = isNear ? origin : FAR_SOURCE_PREFIX + origin;
        return mSources.computeIfAbsent(key, unused -> new Source());
    }

    /** Requests a digest of all upstreams of an observer after one of its digests was lost. */
    private void requestFullDigest(String origin, UpstreamCodes codes) {
        for (Member member : mMembers.members()) {
            if (member.host().key().equals(origin)) {
                mPeers.send(
                        member.host(), new ObserveMessage.MetadataRequest(codes.salt(), List.of()));
            }
        }
    }

    private void sendFullDigest(Identity to, UpstreamCodes codes) {
        long nowMs = mScheduler.instant().toEpochMilli();
        List<LoadEntry> entries = new ArrayList<>();
        for (Identity upstream : mAssignments.current().keySet()) {
            Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
            if (observation.isPresent()) {
                long ageMs = Math.max(0, nowMs - observation.get().sampledAt().toEpochMilli());
                entries.add(LoadEntry.of(codes.code(upstream), (int) ageMs, observation.get()));
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
            boolean isOther = !member.host().equals(self.host());
            if (isOther && member.domain().equals(self.domain())) {
                mPeers.send(member.host(), forwarded);
            }
        }
    }

    private void apply(
            Identity upstream, LoadEntry entry, long sentMs, List<Integer> missingMetadata) {
        if (mAssignments.current().containsKey(upstream)) {
            mPeerReachability.put(upstream, entry.reachability());
            return;
        }
        UpstreamMetadata metadata = mMetadata.get(upstream);
        if (metadata == null || (metadata.stableHash() & 0xffff) != entry.metadataHash()) {
            missingMetadata.add(entry.code());
        }
        if (metadata == null) {
            mPendingEntries.put(upstream, new PendingEntry(entry, sentMs));
            return;
        }
        write(upstream, metadata, entry, sentMs);
    }

    private void write(Identity upstream, UpstreamMetadata metadata, LoadEntry entry, long sentMs) {
        Instant sampledAt = Instant.ofEpochMilli(sentMs - entry.ageMs());
        write(
                new UpstreamObservation(
                        upstream,
                        metadata.withLoad(entry, sampledAt.toEpochMilli()),
                        sampledAt,
                        entry.reachability()));
    }

    /**
     * Advances the sample time of the upstreams that a digest omits: while no digest of the source
     * is missing, an omitted upstream is unchanged.
     */
    private void refreshUnchanged(Source source, Set<Identity> reported, long sentMs) {
        Instant sentAt = Instant.ofEpochMilli(sentMs);
        for (Identity upstream : source.mUpstreams) {
            if (reported.contains(upstream) || mAssignments.current().containsKey(upstream)) {
                continue;
            }
            Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
            if (observation.isPresent() && observation.get().sampledAt().isBefore(sentAt)) {
                UpstreamObservation last = observation.get();
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

    private void onMetadata(Configuration configuration, ObserveMessage.Metadata message) {
        Identity upstream = message.upstream();
        if (configuration.upstream(upstream).isEmpty()) {
            return;
        }
        mMetadata.put(upstream, message.metadata());
        PendingEntry pending = mPendingEntries.remove(upstream);
        if (pending != null) {
            write(upstream, message.metadata(), pending.entry(), pending.sentMs());
        }
        Optional<UpstreamObservation> observation = mBoard.upstreams().get(upstream);
        if (observation.isPresent() && !mAssignments.current().containsKey(upstream)) {
            UpstreamObservation last = observation.get();
            UpstreamMetadata metadata = message.metadata();
            mBoard.upstreams()
                    .put(
                            upstream,
                            new UpstreamObservation(
                                    upstream,
                                    metadata.applyTo(last.status()),
                                    last.sampledAt(),
                                    last.reachability()));
        }
    }

    private void onMetadataRequest(
            Identity from, ObserveMessage.MetadataRequest request, UpstreamCodes codes) {
        if (request.salt() != codes.salt()) {
            return;
        }
        if (request.codes().isEmpty()) {
            sendFullDigest(from, codes);
        }
        for (int code : request.codes()) {
            Optional<Identity> upstream = codes.upstream(code);
            Optional<UpstreamObservation> observation =
                    upstream.flatMap(id -> mBoard.upstreams().get(id));
            if (observation.isPresent()) {
                mPeers.send(
                        from,
                        new ObserveMessage.Metadata(
                                upstream.get(), UpstreamMetadata.of(observation.get().status())));
            }
        }
    }
}
