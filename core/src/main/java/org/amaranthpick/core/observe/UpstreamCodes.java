package org.amaranthpick.core.observe;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Unique 32-bit hash codes for the upstreams of one configuration. The salt is the first one
 * without a collision.
 */
final class UpstreamCodes {
    private final int mSalt;
    private final Map<Integer, Identity> mUpstreamsByCode;

    UpstreamCodes(Configuration configuration) {
        int salt = 0;
        Map<Integer, Identity> upstreams = codes(configuration, salt);
        while (upstreams.size() < configuration.manifest().upstreams().size()) {
            salt++;
            upstreams = codes(configuration, salt);
        }
        mSalt = salt;
        mUpstreamsByCode = upstreams;
    }

    int salt() {
        return mSalt;
    }

    int code(Identity upstream) {
        return code(upstream, mSalt);
    }

    /**
     * Returns the upstream with a code.
     *
     * @param code code of an upstream
     * @return the upstream, if it is configured
     */
    Optional<Identity> upstream(int code) {
        return Optional.ofNullable(mUpstreamsByCode.get(code));
    }

    private static Map<Integer, Identity> codes(Configuration configuration, int salt) {
        Map<Integer, Identity> upstreams = new HashMap<>();
        for (UpstreamSpec spec : configuration.manifest().upstreams()) {
            upstreams.put(code(spec.id(), salt), spec.id());
        }
        return upstreams;
    }

    private static int code(Identity upstream, int salt) {
        return (int)
                Hashing.komihash5_0()
                        .hashStream()
                        .putString(upstream.key())
                        .putInt(salt)
                        .getAsLong();
    }
}
