package org.amaranthpick.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest of a request; detects the reuse of an idempotency key with another request. */
final class BodyDigest {
    private BodyDigest() {}

    static String of(ModelRequest request) {
        MessageDigest digest = sha256();
        add(digest, request.pipeline().id().key());
        add(digest, Integer.toString(request.maxTokens()));
        add(digest, request.prompt());
        return HexFormat.of().formatHex(digest.digest());
    }

    static String of(ServiceRequest request) {
        MessageDigest digest = sha256();
        add(digest, request.service().id().key());
        add(digest, request.call().method());
        add(digest, request.call().path());
        digest.update(request.call().body());
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Returns whether the UTF-8 form of a text has at most a number of bytes.
     *
     * @param text text
     * @param maxBytes maximum length in bytes
     * @return true if it fits
     */
    static boolean fitsInBytes(String text, int maxBytes) {
        return text.length() <= maxBytes
                && text.getBytes(StandardCharsets.UTF_8).length <= maxBytes;
    }

    private static void add(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
