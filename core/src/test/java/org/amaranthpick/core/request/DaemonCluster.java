package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.claim.ClaimSettings;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.claim.JournalClaims;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriterTokens;
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

/** Daemons that share one store and the same upstreams; each has its own view of the membership. */
final class DaemonCluster {
    static final int COUNT = 4;

    final VirtualScheduler mTime = new VirtualScheduler(RequestFixture.START);
    final RandomGenerator mRandom;
    final MemoryObjectStore mStore = new MemoryObjectStore();
    final FaultyStore.FaultRates mFaultRates = new FaultyStore.FaultRates();
    final FakeNetwork mNetwork;
    final FakeUpstreams mUpstreams = new FakeUpstreams(mTime);
    final Invariants mInvariants = new Invariants();
    final List<Daemon> mDaemons = new ArrayList<>();
    private final ClaimSettings mSettings;
    private final UnaryOperator<Claims> mClaimsDecorator;

    DaemonCluster(RandomGenerator random, ClaimSettings settings, UnaryOperator<Claims> decorator) {
        mRandom = random;
        mSettings = settings;
        mClaimsDecorator = decorator;
        mNetwork = new FakeNetwork(mTime, random);
        for (int i = 0; i < COUNT; i++) {
            mDaemons.add(new Daemon(i));
        }
    }

    static Identity hostId(int index) {
        return new Identity("f", ResourceKind.HOST, "h" + index);
    }

    /** Returns the stored keys as one text. */
    String storedKeys() {
        ListResult list = mStore.list("").toCompletableFuture().join();
        return ((ListResult.Listed) list)
                .objects().stream().map(StoredObject::key).toList().toString();
    }

    /** Kills a daemon and starts a new process on the same host. */
    void restart(int index) {
        mDaemons.get(index).mProcess.kill();
        mDaemons.set(index, new Daemon(index));
    }

    /** Daemon with its router and its view of the membership. */
    final class Daemon implements MemberView {
        final FakeProcess mProcess;
        final RequestFixture mFixture;
        final JournalClaims mClaims;
        final boolean[] mSeesMember = {true, true, true, true};
        private final int mIndex;

        Daemon(int index) {
            mIndex = index;
            mProcess = new FakeProcess(mTime, Duration.ofMillis(mRandom.nextInt(4_000) - 2_000));
            mClaims =
                    new JournalClaims(
                            mSettings,
                            this,
                            mNetwork.open(hostId(index), mProcess),
                            new FaultyStore(mStore, mTime, mProcess, mRandom, mFaultRates),
                            new WriterTokens(hostId(index).key(), mRandom.nextLong()),
                            mProcess,
                            (kind, subject, text) -> {});
            mFixture =
                    new RequestFixture(
                            mClaimsDecorator.apply(mClaims),
                            mTime,
                            mProcess,
                            new ProcessUpstreams(mProcess),
                            mInvariants);
        }

        @Override
        public Member self() {
            return memberAt(mIndex);
        }

        @Override
        public List<Member> members() {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < COUNT; i++) {
                if (mSeesMember[i] || i == mIndex) {
                    members.add(memberAt(i));
                }
            }
            return members;
        }

        @Override
        public Optional<Member> member(Identity host) {
            return members().stream().filter(m -> m.host().equals(host)).findFirst();
        }
    }

    private static Member memberAt(int index) {
        Identity domain = new Identity("f", ResourceKind.DOMAIN, "d");
        PeerAddress address = new PeerAddress("127.0.0.1", 1000 + index);
        return new Member(hostId(index), address, domain, "r", 1, MemberState.ALIVE);
    }

    /** Client of the shared upstreams that delivers events only while its process runs. */
    private final class ProcessUpstreams implements UpstreamClient {
        private final FakeProcess mProcess;

        ProcessUpstreams(FakeProcess process) {
            mProcess = process;
        }

        @Override
        public UpstreamStream generate(
                Configuration configuration, GenerateCall call, TokenListener listener) {
            return mProcess.generate(mUpstreams, configuration, call, listener);
        }

        @Override
        public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
            return mUpstreams.call(upstream, call);
        }

        @Override
        public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
            return mUpstreams.status(upstream);
        }

        @Override
        public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
            return mUpstreams.order(upstream, order);
        }

        @Override
        public AutoCloseable cacheEvents(
                UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
            return () -> {};
        }

        @Override
        public void close() {}
    }
}
