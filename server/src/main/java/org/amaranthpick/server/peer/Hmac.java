package org.amaranthpick.server.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** HMAC-SHA256 under one key. Not thread-safe. */
final class Hmac {
    /** Bytes of a whole code. */
    static final int BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mMac;

    Hmac(byte[] key) {
        try {
            mMac = Mac.getInstance(ALGORITHM);
            mMac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the runtime lacks " + ALGORITHM, e);
        }
    }

    /** Computes the code of a label and parts, each preceded by its length. */
    byte[] of(String label, byte[]... parts) {
        update(label.getBytes(StandardCharsets.UTF_8));
        for (byte[] part : parts) {
            update(part);
        }
        return mMac.doFinal();
    }

    /** Computes the code of a number and a range of bytes. */
    byte[] of(long number, byte[] bytes, int offset, int length) {
        for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            mMac.update((byte) (number >>> shift));
        }
        mMac.update(bytes, offset, length);
        return mMac.doFinal();
    }

    private void update(byte[] part) {
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            mMac.update((byte) (part.length >>> shift));
        }
        mMac.update(part);
    }
}
