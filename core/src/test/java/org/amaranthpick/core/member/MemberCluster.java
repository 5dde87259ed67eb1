package org.amaranthpick.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerCodec;
import org.amaranthpick.core.peer.VirtualPeerNetwork;
import org.amaranthpick.core.time.VirtualScheduler;

/**
 * Memberships of the daemons of several domains on virtual time. The host directory changes only
 * when a test changes {@link #mDirectory}.
 */
public final class MemberCluster {
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    public final VirtualScheduler mScheduler = new VirtualScheduler(START);
    public final SplittableRandom mRandom;
    public final VirtualPeerNetwork mPeers;
    public final List<String> mLog = new ArrayList<>();
    public final List<Membership> mDaemons = new ArrayList<>();
    public final Map<Identity, ListedHost> mDirectory = new HashMap<>();
    private final Map<Identity, PausableScheduler> mSchedulers = new HashMap<>();
    public final Map<Identity, VirtualPeerNetwork.Endpoint> mEndpoints = new HashMap<>();

    MemberCluster(long seed, int domains, int perDomain) {
        this(seed, domains, perDomain, List.of());
    }

    public MemberCluster(long seed, int domains, int perDomain, List<MessageCodec<?>> otherCodecs) {
        mRandom = new SplittableRandom(seed);
        List<MessageCodec<?>> codecs = new ArrayList<>(MemberCodecs.all());
        codecs.addAll(otherCodecs);
        mPeers = new VirtualPeerNetwork(mScheduler, mRandom.split(), new PeerCodec(codecs));
        for (int i = 0; i < domains * perDomain; i++) {
            addToDirectory(host(i), address(i), domain(i / perDomain));
        }
        for (int i = 0; i < domains * perDomain; i++) {
            mDaemons.add(start(host(i), address(i), domain(i / perDomain)));
        }
    }

    public static Identity host(int number) {
        return new Identity("f", ResourceKind.HOST, "h" + number);
    }

    public static Identity domain(int number) {
        return new Identity("f", ResourceKind.DOMAIN, "d" + number);
    }

    public static PeerAddress address(int number) {
        return new PeerAddress("10.0." + number / 250 + "." + (number % 250 + 1), 7000);
    }

    public void addToDirectory(Identity host, PeerAddress address, Identity domain) {
        mDirectory.put(
                host, new ListedHost(host, Optional.of(address), domain, "r", Optional.empty()));
    }

    public Membership start(Identity host, PeerAddress address, Identity domain) {
        Member self =
                new Member(
                        host,
                        address,
                        domain,
                        "r",
                        Incarnations.atStart(mScheduler.instant()),
                        MemberState.ALIVE);
        VirtualPeerNetwork.Endpoint endpoint = mPeers.attach(host);
        mEndpoints.put(host, endpoint);
        Membership membership =
                new Membership(
                        self,
                        endpoint,
                        () -> CompletableFuture.completedFuture(List.copyOf(mDirectory.values())),
                        schedulerOf(host),
                        mRandom.split(),
                        (kind, subject, text) -> mLog.add(host + ": " + subject + " " + text),
                        MembershipSettings.DEFAULT);
        membership.start();
        return membership;
    }

    /** Returns the scheduler of one daemon; its timers do not run while the daemon is paused. */
    public PausableScheduler schedulerOf(Identity host) {
        return mSchedulers.computeIfAbsent(host, h -> new PausableScheduler(mScheduler));
    }

    public void setPaused(Identity host, boolean paused) {
        schedulerOf(host).setPaused(paused);
        mPeers.setPaused(host, paused);
    }

    public void run(Duration time) {
        mScheduler.advance(time);
    }

    public long sentBytes() {
        return mEndpoints.values().stream().mapToLong(VirtualPeerNetwork.Endpoint::sentBytes).sum();
    }

    public void runSeconds(long seconds) {
        run(Duration.ofSeconds(seconds));
    }

    /** Counts the given daemons that know a host in a state; an unknown host counts as dead. */
    public long countInState(List<Membership> daemons, Identity host, MemberState state) {
        return daemons.stream()
                .filter(d -> d.member(host).map(Member::state).orElse(MemberState.DEAD) == state)
                .count();
    }

    /** Returns the daemons except those with the given numbers. */
    public List<Membership> daemonsExcept(int... numbers) {
        List<Membership> rest = new ArrayList<>(mDaemons);
        for (int number : numbers) {
            rest.remove(mDaemons.get(number));
        }
        return rest;
    }
}
