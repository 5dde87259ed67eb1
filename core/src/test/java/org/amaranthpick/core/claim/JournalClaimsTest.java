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

/**
 * Tests claims of daemons that share one store. The daemons exchange no messages, so that each
 * performs its own operations.
 */
class JournalClaimsTest {
    private static final Duration STEP = Duration.ofSeconds(4);
    private static final ClaimAnswer ANSWER = new ClaimAnswer(200, "text/plain", "0123456789");
    private static final Identity WORKSPACE = new Identity("f", ResourceKind.WORKSPACE, "w");

    private final VirtualScheduler mScheduler =
            new VirtualScheduler(Instant.parse("2026-01-04T20:00:00Z"));
    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private final List<Member> mMembers = new ArrayList<>();

    private JournalClaims newDaemon(String name, ClaimSettings settings) {
        Identity host = new Identity("f", ResourceKind.HOST, name);
        Identity domain = new Identity("f", ResourceKind.DOMAIN, "d");
        PeerAddress address = new PeerAddress("127.0.0.1", 1000);
        Member self = new Member(host, address, domain, "r", 1, MemberState.ALIVE);
        mMembers.add(self);
        return new JournalClaims(
                settings,
                new SharedMemberView(self),
                new DisconnectedNetwork(),
                mStore,
                new WriterTokens(host.key(), mMembers.size()),
                mScheduler,
                (kind, subject, text) -> {});
    }

    private static ClaimSettings settings(int shards, int headBytes, int entries, int answerChars) {
        ClaimSettings defaults = ClaimSettings.defaults();
        return new ClaimSettings(
                shards,
                defaults.commitInterval(),
                defaults.maxSettleDelay(),
                defaults.expiry(),
                defaults.skewMargin(),
                headBytes,
                entries,
                answerChars,
                defaults.acquireTimeout(),
                defaults.peerTimeout(),
                defaults.settleTimeout(),
                defaults.releaseTimeout(),
                defaults.maxRequestTime(),
                defaults.maxCopyAge());
    }

    private static ClaimSettings settings() {
        return settings(1, 64_000, 200_000, 2_000_000);
    }

    private ClaimResult claim(Claims claims, String key, String requestId) {
        CompletableFuture<ClaimResult> result =
                claims.claim(new ClaimKey(WORKSPACE, key), requestId, "body").toCompletableFuture();
        mScheduler.advance(STEP);
        return result.join();
    }

    private ClaimTicket claimGranted(Claims claims, String key, String requestId) {
        return assertInstanceOf(ClaimResult.Granted.class, claim(claims, key, requestId)).ticket();
    }

    private void claimAndComplete(Claims claims, String key) {
        ClaimTicket ticket = claimGranted(claims, key, "r-" + key);
        CompletableFuture<Void> done = claims.complete(ticket, ANSWER).toCompletableFuture();
        mScheduler.advance(STEP);
        assertTrue(done.isDone());
    }

    @Test
    void repeatThroughAnotherDaemonReceivesTheStateOfTheClaim() {
        JournalClaims first = newDaemon("one", settings());
        JournalClaims second = newDaemon("two", settings());
        claimAndComplete(first, "done");
        ClaimTicket lost = claimGranted(first, "lost", "r1");
        ClaimTicket released = claimGranted(first, "released", "r2");
        claimGranted(first, "running", "r3");
        var unusedLost = first.markLost(lost);
        var unusedRelease = first.release(released);
        mScheduler.advance(STEP);
        assertEquals(new ClaimResult.Completed(ANSWER), claim(second, "done", "x1"));
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(second, "lost", "x2"));
        assertInstanceOf(ClaimResult.Granted.class, claim(second, "released", "x3"));
        assertEquals(new ClaimResult.InProgress(), claim(second, "running", "x4"));
        var other =
                second.claim(new ClaimKey(WORKSPACE, "done"), "x5", "other").toCompletableFuture();
        mScheduler.advance(STEP);
        assertEquals(new ClaimResult.Reused(), other.join());
    }

    @Test
    void outcomeIsUnknownOnceTheHolderIsNoLongerAMember() {
        JournalClaims first = newDaemon("one", settings());
        JournalClaims second = newDaemon("two", settings());
        claimGranted(first, "k", "r1");
        mMembers.remove(0);
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(second, "k", "r2"));
    }

    @Test
    void repeatedClaimByTheSameRequestIsGranted() {
        JournalClaims first = newDaemon("one", settings());
        claimGranted(first, "k", "r1");
        claimGranted(first, "k", "r1");
        assertEquals(new ClaimResult.InProgress(), claim(first, "k", "r2"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keyIsRememberedUntilItExpires(boolean sealed) {
        JournalClaims first = newDaemon("one", settings(1, sealed ? 10 : 64_000, 1000, 1000));
        claimAndComplete(first, "k");
        mScheduler.advance(Duration.ofHours(24));
        assertEquals(new ClaimResult.Completed(ANSWER), claim(first, "k", "r2"));
        mScheduler.advance(Duration.ofMinutes(11));
        claimGranted(first, "k", "r3");
        mScheduler.advance(STEP);
        assertEquals(new ClaimResult.InProgress(), claim(first, "k", "r4"));
    }

    @Test
    void objectsStaySmallAndAFullShardRefusesClaims() {
        int limit = 3000;
        JournalClaims first = newDaemon("one", settings(1, 8_000, limit, 20_000));
        for (int i = 0; i < limit; i++) {
            var unused =
                    first.claim(new ClaimKey(WORKSPACE, "k" + i), "r" + i, "body")
                            .thenCompose(
                                    result ->
                                            first.complete(
                                                    ((ClaimResult.Granted) result).ticket(),
                                                    ANSWER));
            if (i % 50 == 0) {
                mScheduler.advance(STEP);
            }
        }
        mScheduler.advance(STEP);
        assertTrue(objects().size() > 10, "objects: " + objects().size());
        for (StoredObject object : objects()) {
            assertTrue(object.value().length < ObjectStore.MAX_VALUE_BYTES / 10);
        }
        assertInstanceOf(ClaimResult.Unavailable.class, claim(first, "more", "m"));
        JournalClaims second = newDaemon("two", settings(1, 8_000, limit, 20_000));
        assertEquals(new ClaimResult.OutcomeUnknown(), claim(second, "k0", "x0"));
        assertEquals(new ClaimResult.Completed(ANSWER), claim(second, "k" + (limit - 1), "x1"));
        mScheduler.advance(Duration.ofHours(25));
        claimGranted(first, "more", "m2");
        mScheduler.advance(STEP);
        assertTrue(objects().size() < 5, "objects left: " + objects().size());
    }

    private List<StoredObject> objects() {
        ListResult list = mStore.list("claims/").toCompletableFuture().join();
        return ((ListResult.Listed) list).objects();
    }

    @Test
    void simultaneousClaimsShareWrites() {
        JournalClaims first = newDaemon("one", settings());
        for (int i = 0; i < 200; i++) {
            var unused = first.claim(new ClaimKey(WORKSPACE, "k" + i), "r" + i, "body");
        }
        mScheduler.advance(STEP);
        assertTrue(first.counters().writes() <= 3, "writes: " + first.counters().writes());
        assertEquals(new ClaimResult.InProgress(), claim(first, "k199", "x"));
    }

    @Test
    void daemonWithADifferentShardCountRefusesClaims() {
        claimGranted(newDaemon("one", settings()), "k", "r1");
        JournalClaims second = newDaemon("two", settings(2, 64_000, 1000, 1000));
        ClaimResult.Unavailable refusal =
                assertInstanceOf(ClaimResult.Unavailable.class, claim(second, "k2", "r2"));
        assertEquals(
                "the stored journals have 1 shards, this daemon 2; set the stored number",
                refusal.reason());
    }

    /** Member view of one daemon; all daemons see the same members. */
    private final class SharedMemberView implements MemberView {
        private final Member mSelf;

        SharedMemberView(Member self) {
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

    /** Drops every message, so that each daemon performs its own operations. */
    private static final class DisconnectedNetwork implements PeerNetwork {
        @Override
        public void send(Identity to, PeerMessage message) {}

        @Override
        public void handle(int tag, PeerHandler handler) {}
    }
}
