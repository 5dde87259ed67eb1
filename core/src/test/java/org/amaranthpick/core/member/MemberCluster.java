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
import org.amaranthpick.core.peer.PeerCodec;
import org.amaranthpick.core.peer.VirtualPeers;
import org.amaranthpick.core.time.VirtualScheduler;

/** Memberships of several domains on virtual time with a host list that lags. */
final class MemberCluster {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    final VirtualScheduler mScheduler = new VirtualScheduler(START);
    final SplittableRandom mRandom;
    final VirtualPeers mPeers;
    final List<Membership> mDaemons = new ArrayList<>();
    final Map<Identity, ListedHost> mListed = new HashMap<>();
    final Map<Identity, VirtualPeers.Endpoint> mEndpoints = new HashMap<>();

    MemberCluster(long seed, int domains, int perDomain) {
        mRandom = new SplittableRandom(seed);
        mPeers = new VirtualPeers(mScheduler, mRandom.split(), new PeerCodec(MemberCodecs.all()));
        for (int i = 0; i < domains * perDomain; i++) {
            list(host(i), address(i), domain(i / perDomain));
        }
        for (int i = 0; i < domains * perDomain; i++) {
            mDaemons.add(start(host(i), address(i), domain(i / perDomain)));
        }
    }

    static Identity host(int number) {
        return new Identity("f", ResourceKind.HOST, "h" + number);
    }

    static Identity domain(int number) {
        return new Identity("f", ResourceKind.DOMAIN, "d" + number);
    }

    static PeerAddress address(int number) {
        return new PeerAddress("10.0." + number / 250 + "." + (number % 250 + 1), 7000);
    }

    void list(Identity host, PeerAddress address, Identity domain) {
        mListed.put(
                host, new ListedHost(host, Optional.of(address), domain, "r", Optional.empty()));
    }

    Membership start(Identity host, PeerAddress address, Identity domain) {
        Member self =
                new Member(
                        host,
                        address,
                        domain,
                        "r",
                        Incarnations.atStart(mScheduler.instant()),
                        MemberState.ALIVE);
        VirtualPeers.Endpoint endpoint = mPeers.attach(host);
        mEndpoints.put(host, endpoint);
        Membership membership =
                new Membership(
                        self,
                        endpoint,
                        () -> CompletableFuture.completedFuture(List.copyOf(mListed.values())),
                        mScheduler,
                        mRandom.split(),
                        (kind, subject, text) -> {},
                        MembershipSettings.DEFAULT);
        membership.start();
        return membership;
    }

    void run(Duration time) {
        mScheduler.advance(time);
    }

    long sentBytes() {
        return mEndpoints.values().stream().mapToLong(VirtualPeers.Endpoint::sentBytes).sum();
    }

    void runSeconds(long seconds) {
        run(Duration.ofSeconds(seconds));
    }

    /** Counts the daemons, of those given, that hold a host in a state. */
    long holding(List<Membership> daemons, Identity host, MemberState state) {
        return daemons.stream()
                .filter(d -> d.member(host).map(Member::state).orElse(MemberState.DEAD) == state)
                .count();
    }

    /** Returns the daemons but those of given numbers. */
    List<Membership> without(int... numbers) {
        List<Membership> rest = new ArrayList<>(mDaemons);
        for (int number : numbers) {
            rest.remove(mDaemons.get(number));
        }
        return rest;
    }
}
