package org.amaranthpick.core.observe;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Codes of 32 bits for the upstreams of one configuration, with a salt that leaves no collision.
 */
final class UpstreamCodes {
    private final int mSalt;
    private final Map<Integer, Identity> mUpstreams;

    UpstreamCodes(Configuration configuration) {
        int salt = 0;
        Map<Integer, Identity> upstreams = codes(configuration, salt);
        while (upstreams.size() < configuration.manifest().upstreams().size()) {
            salt++;
            upstreams = codes(configuration, salt);
        }
        mSalt = salt;
        mUpstreams = upstreams;
    }

    int salt() {
        return mSalt;
    }

    int code(Identity upstream) {
        return code(upstream, mSalt);
    }

    /**
     * Finds the upstream of a code.
     *
     * @param code code
     * @return the upstream, if it is configured
     */
    Optional<Identity> upstream(int code) {
        return Optional.ofNullable(mUpstreams.get(code));
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
