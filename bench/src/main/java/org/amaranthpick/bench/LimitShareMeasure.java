package org.amaranthpick.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;
import org.amaranthpick.core.admit.ShareCodecs;
import org.amaranthpick.core.admit.SharedLimits;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.VirtualScheduler;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Prints the bytes of the share protocol per daemon of one domain, and how much was admitted. */
public final class LimitShareMeasure {
    private static final int SECONDS = 40;
    private static final int HOLD_MS = 3_000;
    private static final double REQUESTS_PER_DAEMON = 15;

    private final VirtualScheduler mScheduler =
            new VirtualScheduler(Instant.parse("2026-01-04T18:00:00Z"));
    private final Map<Identity, Map<Integer, PeerHandler>> mHandlers = new HashMap<>();
    private final Map<Integer, MessageCodec<?>> mCodecs = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final List<SharedLimits> mLimits = new ArrayList<>();
    private final List<WorkspaceSpec> mWorkspaces = new ArrayList<>();
    private final SplittableRandom mRandom = new SplittableRandom(3);
    private final Histogram mWaitMs = new Histogram(600_000, 3);
    private long mBytes;
    private long mAsked;
    private long mStarted;

    private LimitShareMeasure(int daemons, int workspaces) {
        ShareCodecs.all().forEach(codec -> mCodecs.put(codec.tag(), codec));
        Identity domain = new Identity("kenanga", ResourceKind.DOMAIN, "d");
        for (int i = 0; i < workspaces; i++) {
            mWorkspaces.add(
                    new WorkspaceSpec(
                            new Identity("kenanga", ResourceKind.WORKSPACE, "w" + i),
                            List.of(),
                            new WorkspaceSpec.Limits(1_000, 1e7, 1_000),
                            1,
                            List.of(),
                            List.of()));
        }
        for (int i = 0; i < daemons; i++) {
            Identity host = new Identity("kenanga", ResourceKind.HOST, "h" + i);
            PeerAddress address = new PeerAddress("127.0.0.1", 1);
            mMembers.add(new Member(host, address, domain, "kl", 1, MemberState.ALIVE));
        }
        mMembers.sort(Comparator.comparing(Member::host));
        mMembers.forEach(member -> start(member, configuration(domain)));
    }

    /**
     * Runs the measurement.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.WARNING);
        System.out.println(
                "daemons workspaces  B/s per daemon  admitted at once  wait ms p50  p95");
        for (int[] size : new int[][] {{4, 20}, {11, 140}, {22, 140}, {44, 140}, {44, 1_400}}) {
            LimitShareMeasure measure = new LimitShareMeasure(size[0], size[1]);
            measure.run();
        }
    }

    private void run() {
        mScheduler.advance(Duration.ofSeconds(10));
        load(10);
        mWaitMs.reset();
        mBytes = 0;
        mAsked = 0;
        mStarted = 0;
        load(SECONDS);
        System.out.printf(
                Locale.ROOT,
                "%7d %10d %15.0f %17.3f %12d %4d%n",
                mMembers.size(),
                mWorkspaces.size(),
                mBytes / (double) SECONDS / mMembers.size(),
                mStarted / (double) mAsked,
                mWaitMs.getValueAtPercentile(50),
                mWaitMs.getValueAtPercentile(95));
    }

    private void load(int seconds) {
        for (int ms = 0; ms < seconds * 1_000; ms += 10) {
            for (SharedLimits limits : mLimits) {
                if (mRandom.nextDouble() < REQUESTS_PER_DAEMON / 100) {
                    ask(limits, mWorkspaces.get(mRandom.nextInt(mWorkspaces.size())));
                }
            }
            mScheduler.advance(Duration.ofMillis(10));
        }
    }

    private void ask(SharedLimits limits, WorkspaceSpec workspace) {
        mAsked++;
        if (limits.tryStart(workspace, 500)) {
            mStarted++;
            hold(limits, workspace);
            return;
        }
        limits.reportWaiting(workspace, 1, 500);
        retry(limits, workspace, mScheduler.monotonicNs());
    }

    private void retry(SharedLimits limits, WorkspaceSpec workspace, long sinceNs) {
        var unused =
                mScheduler.schedule(
                        Duration.ofMillis(10),
                        () -> {
                            if (limits.tryStart(workspace, 500)) {
                                limits.reportWaiting(workspace, 0, 0);
                                mWaitMs.recordValue(
                                        (mScheduler.monotonicNs() - sinceNs) / 1_000_000);
                                hold(limits, workspace);
                            } else {
                                retry(limits, workspace, sinceNs);
                            }
                        });
    }

    private void hold(SharedLimits limits, WorkspaceSpec workspace) {
        var unused =
                mScheduler.schedule(
                        Duration.ofMillis(HOLD_MS), () -> limits.finish(workspace, 500, 500));
    }

    private void start(Member self, Configuration configuration) {
        Map<Integer, PeerHandler> handlers = new HashMap<>();
        mHandlers.put(self.host(), handlers);
        SharedLimits limits =
                new SharedLimits(
                        new SharedLimits.Context(
                                () -> Optional.of(configuration),
                                new View(self, mMembers),
                                new Network(self.host(), handlers),
                                mScheduler,
                                (kind, subject, text) -> {},
                                new Invariants()));
        mLimits.add(limits);
        repeat(limits);
    }

    private void repeat(SharedLimits limits) {
        var unused =
                mScheduler.schedule(
                        limits.period(),
                        () -> {
                            limits.step();
                            repeat(limits);
                        });
    }

    private Configuration configuration(Identity domain) {
        return new Configuration(
                1,
                "digest",
                new Manifest(
                        List.of("kenanga"),
                        List.of(new DomainSpec(domain, "kl")),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        mWorkspaces,
                        List.of()));
    }

    /** Membership that never changes. */
    private record View(Member self, List<Member> members) implements MemberView {
        @Override
        public Optional<Member> member(Identity host) {
            return members.stream().filter(member -> member.host().equals(host)).findFirst();
        }
    }

    /** Network that counts bytes and delays by one millisecond. */
    private final class Network implements PeerNetwork {
        private final Identity mSelf;
        private final Map<Integer, PeerHandler> mOwnHandlers;

        Network(Identity self, Map<Integer, PeerHandler> handlers) {
            mSelf = self;
            mOwnHandlers = handlers;
        }

        @Override
        @SuppressWarnings("unchecked")
        public void send(Identity to, PeerMessage message) {
            MessageCodec<PeerMessage> codec =
                    (MessageCodec<PeerMessage>) mCodecs.get(message.tag());
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                codec.pack(message, packer);
                mBytes += packer.toByteArray().length;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            var unused =
                    mScheduler.schedule(
                            Duration.ofMillis(1),
                            () -> mHandlers.get(to).get(message.tag()).onMessage(mSelf, message));
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mOwnHandlers.put(tag, handler);
        }
    }
}
