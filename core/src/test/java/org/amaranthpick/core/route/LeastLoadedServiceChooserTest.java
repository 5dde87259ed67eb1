package org.amaranthpick.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.retry.CappedOutlierEjection;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeastLoadedServiceChooserTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final Invariants mInvariants = new Invariants();
    private final FleetFixture mFleet =
            new FleetFixture()
                    .withDomain("kl-a", "kl")
                    .withDomain("kl-b", "kl")
                    .withEngine("near", "kl-a", 1, 0, 40)
                    .withEngine("far1", "kl-b", 1, 0, 40)
                    .withEngine("far2", "kl-b", 1, 0, 40);
    private final ServiceSpec mService =
            new ServiceSpec(
                    FleetFixture.id(ResourceKind.SERVICE, "timetable"),
                    List.of(
                            FleetFixture.engine("near"),
                            FleetFixture.engine("far1"),
                            FleetFixture.engine("far2")),
                    List.of());
    private ServiceChooser mChooser;

    @BeforeEach
    void start() {
        mFleet.build();
        mFleet.observeAll(mScheduler.instant());
        Routing.Context context =
                new Routing.Context(
                        FleetFixture.domain("kl-a"),
                        mFleet.board(),
                        () -> Optional.of(mFleet.configuration()),
                        mScheduler,
                        3,
                        mInvariants);
        CappedOutlierEjection ejection =
                new CappedOutlierEjection(
                        CappedOutlierEjection.Settings.DEFAULT,
                        () -> Optional.of(mFleet.configuration()),
                        mScheduler,
                        (kind, subject, text) -> {});
        mChooser = new Routing(context, ejection, id -> 1, new PrefixIndex(10)).serviceChooser();
    }

    private Map<Identity, Integer> choose(int calls, Set<Identity> excluded) {
        Map<Identity, Integer> chosen = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            Optional<UpstreamSpec> spec =
                    mChooser.choose(mFleet.configuration(), mService, excluded);
            spec.ifPresent(found -> chosen.merge(found.id(), 1, Integer::sum));
        }
        return chosen;
    }

    @Test
    void localInstanceIsPreferredUntilItIsBusy() {
        assertEquals(Set.of(FleetFixture.engine("near")), choose(4, Set.of()).keySet());
        assertEquals(3, choose(60, Set.of()).size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"near", "far1", "far2"})
    void unavailableInstanceIsNotChosen(String name) {
        assertTrue(
                !choose(60, Set.of(FleetFixture.engine(name)))
                        .containsKey(FleetFixture.engine(name)));
        mFleet.setReachability(name, Reachability.LOST);
        assertTrue(!choose(60, Set.of()).containsKey(FleetFixture.engine(name)));
        mFleet.observe(mFleet.spec(name), mScheduler.instant(), 0, 0, true);
        assertTrue(!choose(60, Set.of()).containsKey(FleetFixture.engine(name)));
        assertEquals(0, mInvariants.total());
    }

    @Test
    void nothingIsChosenIfAllInstancesAreExcluded() {
        assertEquals(Map.of(), choose(3, Set.copyOf(mService.upstreams())));
    }
}
