package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthpick.core.member.LeavingNotice;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberCodecs;
import org.amaranthpick.core.member.MemberMessage;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.DecodedMessage;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerCodec;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.store.WriterToken;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Decodes messages of the membership and the configuration, intact, truncated and corrupted. */
class ControlMessageCodecTest {
    private static final Identity HOST = new Identity("viseu", ResourceKind.HOST, "h-1");
    private static final Identity DOMAIN = new Identity("viseu", ResourceKind.DOMAIN, "tondela-c");
    private static final String DIGEST = "ab".repeat(32);
    private static final PeerCodec CODEC = new PeerCodec(codecs());

    static List<PeerMessage> messages() {
        Member member =
                new Member(HOST, new PeerAddress("::1", 9), DOMAIN, "r", 7, MemberState.LEAVING);
        MemberMessage.Updates news =
                new MemberMessage.Updates(
                        List.of(member),
                        List.of(new LeavingNotice(HOST, DOMAIN, "boot", true, 5)),
                        List.of(new MemberMessage.UnreachableReport(HOST, 3, List.of(DOMAIN))));
        MemberMessage.Heartbeat heartbeat = new MemberMessage.Heartbeat(4, -5, news);
        ConfigurationRoot root =
                new ConfigurationRoot(
                        2,
                        DIGEST,
                        List.of(DIGEST),
                        List.of(
                                new ConfigurationRoot.Acceptance(
                                        2, DIGEST, new WriterToken("o", 1, 1))));
        return List.of(
                new MemberMessage.Ping(1, heartbeat),
                new MemberMessage.Ack(Long.MAX_VALUE, heartbeat),
                new MemberMessage.ProbeRequest(1, HOST),
                new MemberMessage.ProbeReply(1, HOST),
                new MemberMessage.Join(member),
                new MemberMessage.TableRequest(Map.of(DOMAIN, -1L)),
                new MemberMessage.DomainTable(DOMAIN, news.members(), news.notices()),
                new MemberMessage.DomainHeartbeat(DOMAIN, heartbeat),
                new MemberMessage.UrgentUpdates(news),
                new ConfigurationMessage.GenerationNotice(9, HOST),
                new ConfigurationMessage.RootRequest(),
                new ConfigurationMessage.RootReply(Optional.of(root)),
                new ConfigurationMessage.RootReply(Optional.empty()),
                new ConfigurationMessage.ChunkRequest(List.of(DIGEST)),
                new ConfigurationMessage.InForceReport(3),
                new ConfigurationMessage.InForceQuery(1, 3),
                new ConfigurationMessage.InForceReply(1, DOMAIN, 4, List.of(HOST)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesWhatItEncoded(PeerMessage message) {
        assertEquals(new DecodedMessage.Message(message), CODEC.decode(CODEC.encode(message)));
    }

    @Property(tries = 3000, seed = "4713")
    void damagedBytesDecodeToATypedResult(
            @ForAll @IntRange(max = 16) int messageIndex,
            @ForAll @IntRange(max = 500) int position,
            @ForAll byte value) {
        byte[] bytes = CODEC.encode(messages().get(messageIndex));
        int offset = position % bytes.length;
        assertInstanceOf(
                DecodedMessage.Malformed.class, CODEC.decode(Arrays.copyOf(bytes, offset)));
        bytes[offset] = value;
        assertNotNull(CODEC.decode(bytes));
    }

    private static List<MessageCodec<?>> codecs() {
        List<MessageCodec<?>> codecs = new ArrayList<>(MemberCodecs.all());
        codecs.addAll(ConfigurationCodecs.all());
        return codecs;
    }
}
