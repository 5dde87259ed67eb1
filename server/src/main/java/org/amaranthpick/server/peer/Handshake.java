package org.amaranthpick.server.peer;

import java.io.IOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.name.Identity;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Mutual challenge and response under a shared key. The opener sends a hello with a code; the
 * acceptor answers with a challenge and its code; the opener sends its proof. An opener without the
 * key gets no byte. Both ends then hold one key for each direction.
 */
final class Handshake {
    /** Largest frame before authentication. */
    static final int MAX_FRAME_BYTES = 1024;

    private static final String HELLO = "amaranthpick hello";
    private static final String CHALLENGE = "amaranthpick challenge";
    private static final String PROOF = "amaranthpick proof";
    private static final String FROM_OPENER = "amaranthpick from opener";
    private static final String FROM_ACCEPTOR = "amaranthpick from acceptor";
    private static final int CHALLENGE_FIELDS = 2;
    private static final byte[] NONE = new byte[0];

    private final Hmac mHmac;
    private final byte[] mHello;
    private byte[] mChallenge = NONE;

    private Handshake(byte[] key, byte[] hello) {
        mHmac = new Hmac(key);
        mHello = hello;
    }

    /** Starts the opener's side. */
    static Handshake open(PeerKeys keys, Identity self, Identity peer, RandomGenerator random) {
        Hello hello = new Hello(Hello.VERSION, self, peer, nonce(random));
        return new Handshake(keys.current(), hello.pack());
    }

    /** Starts the acceptor's side; empty if no accepted key made the code of the hello. */
    static Optional<Handshake> accept(PeerKeys keys, byte[] frame) {
        if (frame.length <= Hmac.BYTES) {
            return Optional.empty();
        }
        byte[] hello = Arrays.copyOf(frame, frame.length - Hmac.BYTES);
        for (byte[] key : keys.accepted()) {
            Handshake handshake = new Handshake(key, hello);
            if (isCode(handshake.mHmac.of(HELLO, hello), frame)) {
                return Optional.of(handshake);
            }
        }
        return Optional.empty();
    }

    /** Returns the opener's first frame. */
    byte[] helloFrame() {
        return joined(mHello, mHmac.of(HELLO, mHello));
    }

    /**
     * Reads the hello.
     *
     * @throws IOException if it is malformed
     */
    Hello hello() throws IOException {
        return Hello.unpack(mHello);
    }

    /** Makes the acceptor's frame. */
    byte[] challengeFrame(Hello hello, RandomGenerator random) {
        mChallenge = challenge(Math.min(Hello.VERSION, hello.version()), nonce(random));
        return joined(mChallenge, mHmac.of(CHALLENGE, mHello, mChallenge));
    }

    /**
     * Checks the acceptor's frame and makes the proof.
     *
     * @throws IOException if its code is wrong or it speaks no known version
     */
    byte[] proofFrame(byte[] frame) throws IOException {
        if (frame.length <= Hmac.BYTES) {
            throw new IOException("challenge is too short");
        }
        mChallenge = Arrays.copyOf(frame, frame.length - Hmac.BYTES);
        if (!isCode(mHmac.of(CHALLENGE, mHello, mChallenge), frame)) {
            throw new IOException("code of the challenge is wrong");
        }
        checkVersion();
        return mHmac.of(PROOF, mHello, mChallenge);
    }

    /** Checks the opener's proof. */
    boolean isProof(byte[] frame) {
        return frame.length == Hmac.BYTES && isCode(mHmac.of(PROOF, mHello, mChallenge), frame);
    }

    /** Returns the codes of the opener's frames. */
    SealedFrames fromOpener() {
        return new SealedFrames(mHmac.of(FROM_OPENER, mHello, mChallenge));
    }

    /** Returns the codes of the acceptor's frames. */
    SealedFrames fromAcceptor() {
        return new SealedFrames(mHmac.of(FROM_ACCEPTOR, mHello, mChallenge));
    }

    private void checkVersion() throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(mChallenge)) {
            int fields = unpacker.unpackArrayHeader();
            int version = unpacker.unpackInt();
            if (fields < CHALLENGE_FIELDS || version < 1 || version > Hello.VERSION) {
                throw new IOException("peer chose protocol version " + version);
            }
        }
    }

    private static byte[] challenge(int version, byte[] nonce) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(CHALLENGE_FIELDS).packInt(version);
            packer.packBinaryHeader(nonce.length).writePayload(nonce);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] nonce(RandomGenerator random) {
        byte[] nonce = new byte[Hello.NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    private static boolean isCode(byte[] wanted, byte[] frame) {
        byte[] found = Arrays.copyOfRange(frame, frame.length - Hmac.BYTES, frame.length);
        return MessageDigest.isEqual(wanted, found);
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
