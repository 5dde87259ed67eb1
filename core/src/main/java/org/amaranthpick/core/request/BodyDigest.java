package org.amaranthpick.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest by which a repeat of an idempotency key with another request is told apart. */
final class BodyDigest {
    private BodyDigest() {}

    static String of(CallerRequest request) {
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
     * Tells whether a text is short enough to be kept.
     *
     * @param text text
     * @param maxBytes longest UTF-8 form
     * @return true if it fits
     */
    static boolean isShort(String text, int maxBytes) {
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
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
