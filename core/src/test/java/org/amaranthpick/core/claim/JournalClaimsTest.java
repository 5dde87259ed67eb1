package org.amaranthpick.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Claims of daemons over one store without faults. */
class JournalClaimsTest {
    private static final Duration STEP = Duration.ofSeconds(4);
    private static final ClaimAnswer ANSWER = new ClaimAnswer(200, "text/plain", "0123456789");
    private static final Identity WORKSPACE = new Identity("f", ResourceKind.WORKSPACE, "w");

    private final VirtualScheduler mTime =
            new VirtualScheduler(Instant.parse("2026-01-04T20:00:00Z"));
    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private final List<Member> mMembers = new ArrayList<>();

    private JournalClaims daemon(String name, ClaimSettings settings) {
        Identity host = new Identity("f", ResourceKind.HOST, name);
        Identity domain = new Identity("f", ResourceKind.DOMAIN, "d");
        PeerAddress address = new PeerAddress("127.0.0.1", 1000);
        Member self = new Member(host, address, domain, "r", 1, MemberState.ALIVE);
        mMembers.add(self);
        return new JournalClaims(
                settings,
                new OneMember(self),
                new NoNetwork(),
                mStore,
                new WriterTokens(host.key(), mMembers.size()),
                mTime,
                (kind, subject, text) -> {});
    }

    private static ClaimSettings settings(int shards, int headBytes, int entries, int answers) {
        ClaimSettings d = ClaimSettings.defaults();
        return new ClaimSettings(
                shards,
                d.commitInterval(),
                d.settleLinger(),
                d.expiry(),
                d.skewMargin(),
                headBytes,
                entries,
                answers,
                d.askTimeout(),
                d.peerTimeout(),
                d.settleTimeout(),
                d.releaseTimeout(),
                d.maxRequestTime(),
                d.cacheTrust());
    }

    private static ClaimSettings settings() {
        return settings(1, 64_000, 200_000, 2_000_000);
    }

    private ClaimResult claim(Claims claims, String key, String requestId) {
        CompletableFuture<ClaimResult> result =
                claims.claim(new ClaimKey(WORKSPACE, key), requestId, "body").toCompletableFuture();
        mTime.advance(STEP);
        return result.join();
    }

    private ClaimTicket granted(Claims claims, String key, String requestId) {
        return assertInstanceOf(ClaimResult.Granted.class, claim(claims, key, requestId)).ticket();
    }

    private void run(Claims claims, String key) {
        ClaimTicket ticket = granted(claims, key, "r-" + key);
        CompletableFuture<Void> done = claims.done(ticket, ANSWER).toCompletableFuture();
        mTime.advance(STEP);
        assertTrue(done.isDone());
    }

    @Test
    void everyStateIsToldToARepeatThroughAnotherDaemon() {
        JournalClaims one = daemon("one", settings());
        JournalClaims two = daemon("two", settings());
        run(one, "done");
        ClaimTicket lost = granted(one, "lost", "r1");
        ClaimTicket released = granted(one, "released", "r2");
        granted(one, "running", "r3");
        var unusedLost = one.lost(lost);
        var unusedRelease = one.release(released);
        mTime.advance(STEP);
        assertEquals(new ClaimResult.Kept(ANSWER), claim(two, "done", "x1"));
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(two, "lost", "x2"));
        assertInstanceOf(ClaimResult.Granted.class, claim(two, "released", "x3"));
        assertEquals(new ClaimResult.InProgress(), claim(two, "running", "x4"));
        var other = two.claim(new ClaimKey(WORKSPACE, "done"), "x5", "other").toCompletableFuture();
        mTime.advance(STEP);
        assertEquals(new ClaimResult.Reused(), other.join());
    }

    @Test
    void keyOfADeadDaemonHasAnUnknownOutcome() {
        JournalClaims one = daemon("one", settings());
        JournalClaims two = daemon("two", settings());
        granted(one, "k", "r1");
        mMembers.remove(0);
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(two, "k", "r2"));
    }

    @Test
    void askOfTheSameRequestAgainIsGrantedAgain() {
        JournalClaims one = daemon("one", settings());
        granted(one, "k", "r1");
        granted(one, "k", "r1");
        assertEquals(new ClaimResult.InProgress(), claim(one, "k", "r2"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keyIsRememberedForItsExpiryAndNotForEver(boolean sealed) {
        JournalClaims one = daemon("one", settings(1, sealed ? 10 : 64_000, 1000, 1000));
        run(one, "k");
        mTime.advance(Duration.ofHours(24));
        assertEquals(new ClaimResult.Kept(ANSWER), claim(one, "k", "r2"));
        mTime.advance(Duration.ofMinutes(11));
        granted(one, "k", "r3");
        mTime.advance(STEP);
        assertEquals(new ClaimResult.InProgress(), claim(one, "k", "r4"));
    }

    @Test
    void manyKeysStayInSmallObjectsAndAFullShardRefuses() {
        int limit = 3000;
        JournalClaims one = daemon("one", settings(1, 8_000, limit, 20_000));
        for (int i = 0; i < limit; i++) {
            var unused =
                    one.claim(new ClaimKey(WORKSPACE, "k" + i), "r" + i, "body")
                            .thenCompose(
                                    result ->
                                            one.done(
                                                    ((ClaimResult.Granted) result).ticket(),
                                                    ANSWER));
            if (i % 50 == 0) {
                mTime.advance(STEP);
            }
        }
        mTime.advance(STEP);
        assertTrue(objects().size() > 10, "segments " + objects().size());
        for (StoredObject object : objects()) {
            assertTrue(object.value().length < ObjectStore.MAX_VALUE_BYTES / 10);
        }
        assertInstanceOf(ClaimResult.Unavailable.class, claim(one, "more", "m"));
        JournalClaims two = daemon("two", settings(1, 8_000, limit, 20_000));
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(two, "k0", "x0"));
        assertEquals(new ClaimResult.Kept(ANSWER), claim(two, "k" + (limit - 1), "x1"));
        mTime.advance(Duration.ofHours(25));
        granted(one, "more", "m2");
        mTime.advance(STEP);
        assertTrue(objects().size() < 5, "objects left " + objects().size());
    }

    private List<StoredObject> objects() {
        ListResult list = mStore.list("claims/").toCompletableFuture().join();
        return ((ListResult.Listed) list).objects();
    }

    @Test
    void claimsOfOneMomentShareTheirWrites() {
        JournalClaims one = daemon("one", settings());
        for (int i = 0; i < 200; i++) {
            var unused = one.claim(new ClaimKey(WORKSPACE, "k" + i), "r" + i, "body");
        }
        mTime.advance(STEP);
        assertTrue(one.counters().writes() <= 3, "writes " + one.counters().writes());
        assertEquals(new ClaimResult.InProgress(), claim(one, "k199", "x"));
    }

    @Test
    void daemonWithAnotherNumberOfShardsClaimsNothing() {
        granted(daemon("one", settings()), "k", "r1");
        JournalClaims two = daemon("two", settings(2, 64_000, 1000, 1000));
        ClaimResult.Unavailable refused =
                assertInstanceOf(ClaimResult.Unavailable.class, claim(two, "k2", "r2"));
        assertEquals("the journals have 1 shards, not 2; set that number", refused.reason());
    }

    /** One daemon that sees all members and owns every shard. */
    private final class OneMember implements MemberView {
        private final Member mSelf;

        OneMember(Member self) {
            mSelf = self;
        }

        @Override
        public Member self() {
            return mSelf;
        }

        @Override
        public List<Member> members() {
            return mMembers;
        }

        @Override
        public Optional<Member> member(Identity host) {
            return mMembers.stream().filter(m -> m.host().equals(host)).findFirst();
        }
    }

    /** Loses every message, so that each daemon writes for itself. */
    private static final class NoNetwork implements PeerNetwork {
        @Override
        public void send(Identity to, PeerMessage message) {}

        @Override
        public void handle(int tag, PeerHandler handler) {}
    }
}
