package org.amaranthpick.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

class PeerCodecTest {
    private static final Identity HOST = new Identity("f", ResourceKind.HOST, "h-1");

    private final PeerCodec mCodec = new PeerCodec(List.of(new TestMessageCodec()));

    @Test
    void roundTrips() {
        TestMessage message = new TestMessage(HOST, List.of("a", "b"));
        assertEquals(new DecodedMessage.Message(message), mCodec.decode(mCodec.encode(message)));
    }

    @Test
    void skipsUnknownTagsAndVersions() throws IOException {
        assertInstanceOf(DecodedMessage.Skipped.class, mCodec.decode(envelope(1, 77, 0)));
        assertInstanceOf(DecodedMessage.Skipped.class, mCodec.decode(envelope(2, 1, 0)));
        assertEquals(2, mCodec.skipped());
    }

    @Test
    void rejectsTwoCodecsWithTheSameTag() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new PeerCodec(List.of(new TestMessageCodec(), new TestMessageCodec())));
    }

    @Property(tries = 2000, seed = "4711")
    void neverThrowsOnRandomBytes(@ForAll byte[] bytes) {
        assertNotNull(mCodec.decode(bytes));
    }

    @Property(tries = 2000, seed = "4712")
    void neverThrowsOnCorruptedOrTruncatedMessages(
            @ForAll @IntRange(max = 200) int position, @ForAll byte value) {
        byte[] bytes = mCodec.encode(new TestMessage(HOST, List.of("text", "more")));
        bytes[position % bytes.length] = value;
        assertNotNull(mCodec.decode(bytes));
        assertNotNull(mCodec.decode(java.util.Arrays.copyOf(bytes, position % bytes.length)));
    }

    private static byte[] envelope(int version, int tag, int field) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3).packInt(version).packInt(tag).packInt(field);
            return packer.toByteArray();
        }
    }

    private record TestMessage(Identity host, List<String> lines) implements PeerMessage {
        @Override
        public int tag() {
            return 1;
        }
    }

    private static final class TestMessageCodec implements MessageCodec<TestMessage> {
        @Override
        public int tag() {
            return 1;
        }

        @Override
        public void pack(TestMessage message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(2);
            MessageFields.packIdentity(message.host(), packer);
            MessageFields.packList(
                    message.lines(), packer, (line, target) -> target.packString(line));
        }

        @Override
        public TestMessage unpack(MessageUnpacker unpacker) throws IOException {
            int extra = MessageFields.unpackHeader(unpacker, 2);
            Identity host = MessageFields.unpackIdentity(unpacker);
            List<String> lines =
                    MessageFields.unpackList(
                            unpacker, 10, source -> MessageFields.unpackText(source, 100));
            MessageFields.skipExtra(unpacker, extra);
            return new TestMessage(host, lines);
        }
    }
}
