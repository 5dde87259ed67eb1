package org.amaranthpick.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthpick.core.config.ConfigurationCodecs;
import org.amaranthpick.core.config.ConfigurationInForce;
import org.amaranthpick.core.config.ConfigurationService;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.member.Incarnations;
import org.amaranthpick.core.member.ListedHost;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberCodecs;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.Membership;
import org.amaranthpick.core.member.MembershipSettings;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerCodec;
import org.amaranthpick.core.peer.VirtualPeerNetwork;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;

/** Control part of many daemons on virtual time, as built or as the baseline. */
final class ControlFleet {
    private static final Duration STORE_DELAY = Duration.ofMillis(5);
    private static final Duration MIN_DELAY = Duration.ofNanos(300_000);
    private static final Duration MAX_DELAY = Duration.ofMillis(20);
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(500);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final SplittableRandom mRandom = new SplittableRandom(42);
    private final MemoryObjectStore mMemory = new MemoryObjectStore();
    private final CountingStore mStore = new CountingStore(mMemory, mScheduler, STORE_DELAY);
    private final VirtualPeerNetwork mPeers;
    private final List<ControlDaemon> mDaemons = new ArrayList<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final int mDomains;
    private int mPublications;

    ControlFleet(int daemons, int domains, boolean baseline) {
        mDomains = domains;
        List<MessageCodec<?>> codecs = new ArrayList<>(MemberCodecs.all());
        codecs.addAll(ConfigurationCodecs.all());
        mPeers = new VirtualPeerNetwork(mScheduler, mRandom.split(), new PeerCodec(codecs));
        mPeers.setDelay(MIN_DELAY, MAX_DELAY);
        for (int i = 0; i < daemons; i++) {
            mMembers.add(member(i, domains));
        }
        for (Member member : mMembers) {
            mDaemons.add(baseline ? baseline(member) : built(member));
        }
        tellProgress();
    }

    List<ControlDaemon> daemons() {
        return mDaemons;
    }

    CountingStore store() {
        return mStore;
    }

    void run(Duration time) {
        mScheduler.advance(time);
    }

    /** Lets one daemon announce that it leaves. */
    void leave(int number) {
        if (mDaemons.get(number) instanceof Built built) {
            built.membership().announceLeaving();
        }
    }

    /** Stops one daemon without a word. */
    void fail(int number) {
        mPeers.setDown(mMembers.get(number).host(), true);
    }

    /** Counts the other daemons to which one daemon is in a state. */
    long holding(int number, MemberState state) {
        Identity host = mMembers.get(number).host();
        long count = 0;
        for (int i = 0; i < mDaemons.size(); i++) {
            if (i != number && mDaemons.get(i) instanceof Built built) {
                Optional<Member> held = built.membership().member(host);
                MemberState told = held.map(Member::state).orElse(MemberState.DEAD);
                count += told == state ? 1 : 0;
            }
        }
        return count;
    }

    /** Stops the network of every tenth daemon; the others go on. */
    void failTenth() {
        for (int i = mDaemons.size() - 1; i >= 0; i--) {
            if (i % 10 == 3) {
                mPeers.setDown(mMembers.get(i).host(), true);
                mDaemons.remove(i);
            }
        }
    }

    /** Returns the bytes sent by all daemons together. */
    long sentBytes() {
        return mDaemons.stream().mapToLong(daemon -> daemon.endpoint().sentBytes()).sum();
    }

    /** Publishes; returns the times from acceptance to force of each daemon, in milliseconds. */
    List<Long> publish(Manifest manifest) {
        ConfigurationStore operator =
                new ConfigurationStore(
                        new CountingStore(mMemory, mScheduler, STORE_DELAY),
                        mScheduler,
                        new WriterTokens("operator", ++mPublications));
        long target = mPublications;
        AtomicBoolean accepted = new AtomicBoolean();
        operator.publish(manifest, OptionalLong.empty()).thenAccept(r -> accepted.set(true));
        while (!accepted.get()) {
            run(Duration.ofMillis(1));
        }
        List<Long> timesMs = new ArrayList<>();
        for (long ms = 0; timesMs.size() < mDaemons.size() && ms < 30_000; ms++) {
            long inForce = mDaemons.stream().filter(d -> d.generation() >= target).count();
            while (timesMs.size() < inForce) {
                timesMs.add(ms);
            }
            run(Duration.ofMillis(1));
        }
        return timesMs;
    }

    private Member member(int number, int domains) {
        return new Member(
                new Identity("f", ResourceKind.HOST, "entry-" + number),
                new PeerAddress("10.0." + number / 250 + "." + (number % 250 + 1), 7000),
                new Identity("f", ResourceKind.DOMAIN, "zone-" + number % domains),
                "region-" + number % domains % 3,
                Incarnations.atStart(Instant.EPOCH),
                MemberState.ALIVE);
    }

    private ControlDaemon built(Member self) {
        VirtualPeerNetwork.Endpoint endpoint = mPeers.attach(self.host());
        List<ListedHost> listed =
                mMembers.stream()
                        .map(
                                m ->
                                        new ListedHost(
                                                m.host(),
                                                Optional.of(m.address()),
                                                m.domain(),
                                                m.region(),
                                                Optional.empty()))
                        .toList();
        Membership membership =
                new Membership(
                        self,
                        endpoint,
                        () -> CompletableFuture.completedFuture(listed),
                        mScheduler,
                        mRandom.split(),
                        (kind, subject, text) -> {},
                        MembershipSettings.DEFAULT);
        ConfigurationService service =
                new ConfigurationService(
                        new ConfigurationStore(
                                mStore, mScheduler, new WriterTokens(self.host().key(), 1)),
                        new ConfigurationInForce(new Invariants(), (kind, subject, text) -> {}),
                        membership,
                        endpoint,
                        mScheduler,
                        mRandom.split());
        membership.setGenerationExchange(service);
        membership.start();
        service.start();
        return new Built(membership, service, endpoint, mDomains);
    }

    private ControlDaemon baseline(Member self) {
        ControlBaseline daemon =
                new ControlBaseline(
                        self,
                        mMembers,
                        mPeers.attach(self.host()),
                        new ConfigurationStore(
                                mStore, mScheduler, new WriterTokens(self.host().key(), 1)),
                        mStore,
                        mScheduler);
        daemon.start(Duration.ofNanos(mRandom.nextLong(1_000_000_000L)));
        return daemon;
    }

    private void tellProgress() {
        mMemory.sendProgress();
        mScheduler.schedule(PROGRESS_PERIOD, this::tellProgress);
    }

    /** Daemon with the membership and configuration service of the product. */
    private record Built(
            Membership membership,
            ConfigurationService service,
            VirtualPeerNetwork.Endpoint endpoint,
            int domains)
            implements ControlDaemon {
        @Override
        public long generation() {
            return service.generation();
        }

        @Override
        public String role() {
            boolean relay = domains > 1 && ranks("relay ");
            boolean watcher = ranks("config ");
            if (relay && watcher) {
                return "relay+watcher";
            }
            return relay ? "relay" : watcher ? "watcher" : "plain";
        }

        private boolean ranks(String key) {
            Identity domain = membership.self().domain();
            List<Member> members =
                    membership.members().stream().filter(m -> m.domain().equals(domain)).toList();
            return Rendezvous.rank(key + domain.key(), members, 2).stream()
                    .anyMatch(m -> m.host().equals(membership.self().host()));
        }
    }
}
