package org.amaranthpick.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.DigestSettings;
import org.amaranthpick.core.observe.Observation;
import org.amaranthpick.core.observe.ObserveCodecs;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Prints the bytes of load digests per daemon and the error of the loads known from them. */
public final class DigestMeasure {
    private static final int DOMAINS = 10;
    private static final int WARM_UP_SECONDS = 40;
    private static final int SECONDS = 60;

    private final VirtualScheduler mScheduler =
            new VirtualScheduler(Instant.parse("2026-01-04T18:00:00Z"));
    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final List<Member> mMembers = new ArrayList<>();
    private final Map<Identity, Map<Integer, PeerHandler>> mHandlers = new HashMap<>();
    private final Map<Identity, Blackboard> mBoards = new HashMap<>();
    private final Map<Identity, double[]> mLoads = new HashMap<>();
    private final Map<Integer, MessageCodec<?>> mCodecs = new HashMap<>();
    private final Configuration mConfiguration;
    private long mBytes;

    private DigestMeasure(int daemons, int upstreams, DigestSettings settings) {
        ObserveCodecs.all().forEach(codec -> mCodecs.put(codec.tag(), codec));
        mConfiguration = configuration(upstreams);
        for (int i = 0; i < daemons; i++) {
            Identity host = new Identity("kenanga", ResourceKind.HOST, "h" + i);
            PeerAddress address = new PeerAddress("127.0.0.1", 1);
            mMembers.add(
                    new Member(host, address, domain(i % DOMAINS), "kl", 1, MemberState.ALIVE));
        }
        mMembers.sort(Comparator.comparing(Member::host));
        mMembers.forEach(member -> start(member, settings));
    }

    /**
     * Runs the measurement.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.WARNING);
        Duration second = Duration.ofSeconds(1);
        Duration far = Duration.ofSeconds(10);
        System.out.println(
                "variant                     daemons upstreams  B/s per daemon"
                        + "  error near  far  (of streams)");
        print("default", 80, 240, DigestSettings.DEFAULT);
        print("default", 160, 240, DigestSettings.DEFAULT);
        for (int size : new int[] {40, 80}) {
            int upstreams = size * 6;
            print("default", size, upstreams, DigestSettings.DEFAULT);
            print("every change told", size, upstreams, new DigestSettings(second, far, 10, 3, 0));
            print("no silence", size, upstreams, new DigestSettings(second, far, 1, 1, 0));
            print(
                    "far at full rate",
                    size,
                    upstreams,
                    new DigestSettings(second, second, 10, 10, 0.1));
        }
    }

    private static void print(String variant, int daemons, int upstreams, DigestSettings settings) {
        DigestMeasure measure = new DigestMeasure(daemons, upstreams, settings);
        measure.run(WARM_UP_SECONDS);
        long before = measure.mBytes;
        double[] errors = measure.run(SECONDS);
        double perDaemon = (measure.mBytes - before) / (double) SECONDS / daemons;
        System.out.printf(
                Locale.ROOT,
                "%-28s %6d %8d %14.0f %12.3f %6.3f%n",
                variant,
                daemons,
                upstreams,
                perDaemon,
                errors[0],
                errors[1]);
    }

    private double[] run(int seconds) {
        double near = 0;
        double far = 0;
        long nears = 0;
        long fars = 0;
        for (int s = 0; s < seconds; s++) {
            for (int i = 0; i < 10; i++) {
                mLoads.values().forEach(this::change);
                mScheduler.advance(Duration.ofMillis(100));
            }
            for (Member member : mMembers) {
                for (UpstreamSpec spec : mConfiguration.manifest().upstreams()) {
                    Optional<UpstreamObservation> seen =
                            mBoards.get(member.host()).upstreams().get(spec.id());
                    if (seen.isEmpty()) {
                        continue;
                    }
                    double truth = mLoads.get(spec.id())[0];
                    double error = Math.abs(seen.get().status().runningStreams() - truth) / truth;
                    if (member.domain().equals(spec.domain())) {
                        near += error;
                        nears++;
                    } else {
                        far += error;
                        fars++;
                    }
                }
            }
        }
        return new double[] {near / Math.max(1, nears), far / Math.max(1, fars)};
    }

    /** Lets a load drift around 40 streams, with a jump now and then. */
    private void change(double[] load) {
        load[0] += mRandom.nextGaussian() * 0.7 + (40 - load[0]) * 0.01;
        if (mRandom.nextInt(300) == 0) {
            load[0] = 10 + mRandom.nextInt(60);
        }
        load[0] = Math.max(1, load[0]);
    }

    private void start(Member self, DigestSettings settings) {
        Blackboard board = new Blackboard();
        mBoards.put(self.host(), board);
        Map<Integer, PeerHandler> handlers = new HashMap<>();
        mHandlers.put(self.host(), handlers);
        Observation observation =
                new Observation(
                        new Observation.Context(
                                board,
                                () -> Optional.of(mConfiguration),
                                new View(self, mMembers),
                                new Upstreams(),
                                new Network(self.host(), handlers),
                                mScheduler,
                                settings));
        observation.controllers().forEach(this::repeat);
    }

    private void repeat(Controller controller) {
        var unused =
                mScheduler.schedule(
                        controller.period(),
                        () -> {
                            controller.step();
                            repeat(controller);
                        });
    }

    private static Identity domain(int index) {
        return new Identity("kenanga", ResourceKind.DOMAIN, "d" + index);
    }

    private Configuration configuration(int upstreams) {
        List<DomainSpec> domains = new ArrayList<>();
        for (int i = 0; i < DOMAINS; i++) {
            domains.add(new DomainSpec(domain(i), "kl"));
        }
        Identity model = new Identity("kenanga", ResourceKind.MODEL_VERSION, "planner-7");
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            Identity id = new Identity("kenanga", ResourceKind.UPSTREAM, "engine-" + i);
            mLoads.put(id, new double[] {40});
            specs.add(
                    new UpstreamSpec(
                            id,
                            UpstreamSpec.Role.ENGINE,
                            domain(i % DOMAINS),
                            Optional.empty(),
                            URI.create("http://127.0.0.1:1"),
                            Optional.empty(),
                            true,
                            true,
                            List.of(
                                    new UpstreamSpec.Holding(
                                            model, new LayerRange(0, 40), List.of()))));
        }
        Manifest manifest =
                new Manifest(
                        List.of("kenanga"),
                        domains,
                        List.of(),
                        List.of(),
                        List.of(),
                        specs,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
        return new Configuration(1, "digest", manifest);
    }

    /** Membership that never changes. */
    private record View(Member self, List<Member> members) implements MemberView {
        @Override
        public Optional<Member> member(Identity host) {
            return members.stream().filter(member -> member.host().equals(host)).findFirst();
        }
    }

    /** Network that counts bytes and delays by up to 20 ms. */
    private final class Network implements PeerNetwork {
        private final Identity mSelf;
        private final Map<Integer, PeerHandler> mOwnHandlers;

        Network(Identity self, Map<Integer, PeerHandler> handlers) {
            mSelf = self;
            mOwnHandlers = handlers;
        }

        @Override
        public void send(Identity to, PeerMessage message) {
            mBytes += size(message);
            Duration delay = Duration.ofMillis(1 + mRandom.nextInt(20));
            var unused =
                    mScheduler.schedule(
                            delay,
                            () -> mHandlers.get(to).get(message.tag()).onMessage(mSelf, message));
        }

        @Override
        public void handle(int tag, PeerHandler handler) {
            mOwnHandlers.put(tag, handler);
        }

        @SuppressWarnings("unchecked")
        private int size(PeerMessage message) {
            MessageCodec<PeerMessage> codec =
                    (MessageCodec<PeerMessage>) mCodecs.get(message.tag());
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                codec.pack(message, packer);
                return packer.toByteArray().length;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Upstreams that answer with their present load. */
    private final class Upstreams implements UpstreamClient {
        @Override
        public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
            double streams = mLoads.get(upstream.id())[0];
            return CompletableFuture.completedFuture(
                    Optional.of(
                            new UpstreamStatus(
                                    "boot",
                                    0,
                                    false,
                                    upstream.initialHoldings(),
                                    (int) Math.round(streams),
                                    (long) (streams * 50),
                                    1L << 30,
                                    Optional.empty(),
                                    0)));
        }

        @Override
        public AutoCloseable cacheEvents(
                UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
            return () -> {};
        }

        @Override
        public UpstreamStream generate(
                Configuration configuration, GenerateCall call, TokenListener listener) {
            throw new UnsupportedOperationException("not measured");
        }

        @Override
        public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
            throw new UnsupportedOperationException("not measured");
        }

        @Override
        public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
            throw new UnsupportedOperationException("not measured");
        }

        @Override
        public void close() {}
    }
}
