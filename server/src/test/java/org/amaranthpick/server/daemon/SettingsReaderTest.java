package org.amaranthpick.server.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final Map<String, String> COMPLETE =
            Map.of(
                    "fleet", "kenanga",
                    "host-name", "entry-1",
                    "domain", "kl-a",
                    "region", "kl",
                    "caller-address", "127.0.0.1:8080",
                    "operator-address", "127.0.0.1:8081",
                    "peer-address", "127.0.0.1:8082",
                    "store-address", "http://127.0.0.1:9000",
                    "peer-key", "0123456789abcdef0123456789abcdef",
                    "operator-token", "fedcba9876543210");

    @Test
    void everyFaultIsListedWithItsRemedy() {
        Map<String, String> flags = new HashMap<>(COMPLETE);
        flags.remove("fleet");
        flags.put("peer-address", "planner.example:7400");
        flags.put("operator-token", "short");
        flags.put("drain-grace", "ten minutes");
        flags.put("max-open-requests", "-1");
        flags.put("seeds", "kenanga/entry-2@10.0.0.2:7400@kl-a@kl,entry-3,entry-4@4:4@kl-a@kl");
        SettingsReader reader = new SettingsReader(flags, Map.of());
        SettingsException e = assertThrows(SettingsException.class, reader::read);
        Approvals.verify(e.getMessage());
    }

    @Test
    void flagGoesBeforeItsVariable() throws SettingsException {
        Map<String, String> flags = new HashMap<>(COMPLETE);
        flags.put("drain-grace", "PT1M");
        Map<String, String> environment =
                Map.of(
                        "AMARANTHPICK_DRAIN_GRACE", "PT2M",
                        "AMARANTHPICK_BALANCER_LAG", "PT7S",
                        "AMARANTHPICK_PEER_KEY_PREVIOUS", "an-older-peer-key-of-enough-bytes");
        Settings settings = new SettingsReader(flags, environment).read();
        assertEquals(Duration.ofMinutes(1), settings.drainGrace());
        assertEquals(Duration.ofSeconds(7), settings.balancerLag());
        assertEquals(2, settings.peerKeys().size());
    }
}
