package org.amaranthpick.core.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeavingGuardTest {
    private static final Identity HOST = new Identity("f", ResourceKind.HOST, "h");
    private static final Identity ENGINE = new Identity("f", ResourceKind.UPSTREAM, "e");
    private static final Identity DOMAIN = new Identity("f", ResourceKind.DOMAIN, "d");

    @ParameterizedTest
    @CsvSource({"none,9000,0", "engine,2999,0", "engine,3001,1", "host,3000,0", "host,3001,1"})
    void reportsNewWorkForALeavingUpstreamAfterTheGracePeriod(
            String leaving, long waitMs, long violations) {
        VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
        Map<Identity, Instant> since = new HashMap<>();
        if (!leaving.equals("none")) {
            since.put(leaving.equals("host") ? HOST : ENGINE, scheduler.instant());
        }
        Invariants invariants = new Invariants();
        LeavingView view = target -> Optional.ofNullable(since.get(target));
        LeavingGuard guard = new LeavingGuard(view, scheduler, invariants);
        scheduler.advance(Duration.ofMillis(waitMs));
        assertEquals(violations == 0, guard.checkNewWork(engine()));
        assertEquals(violations, invariants.violations(Invariant.NOTHING_NEW_TO_LEAVING));
    }

    private static UpstreamSpec engine() {
        return new UpstreamSpec(
                ENGINE,
                UpstreamSpec.Role.ENGINE,
                DOMAIN,
                Optional.of(HOST),
                URI.create("http://127.0.0.1:1"),
                Optional.empty(),
                false,
                false,
                List.of());
    }
}
