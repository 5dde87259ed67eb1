package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.RequestRateLimits;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.room.RoomView;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeastLoadedTargetPolicyTest {
    private static final int LAYERS = 8;
    private static final EngineModel MODEL =
            new EngineModel(
                    LAYERS,
                    100,
                    8000,
                    10,
                    1,
                    0,
                    0,
                    1000,
                    100,
                    50,
                    1,
                    OptionalInt.empty(),
                    1,
                    1000,
                    1,
                    Map.of("card", new CardKind(1000, 1, 1)));
    private static final GatewayService SERVICE =
            new GatewayService("llm", 100, Optional.of(MODEL));

    private final UpstreamRegister mRegister = new UpstreamRegister();
    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final RequestRateLimits mRateLimits =
            new RequestRateLimits("", List::of, () -> 1, id -> true, new SplittableRandom(3));
    private final UpstreamAdmission mAdmission = new UpstreamAdmission(mRateLimits);
    private final LeastLoadedTargetPolicy mPolicy =
            new LeastLoadedTargetPolicy(
                    mRegister,
                    mHealth,
                    mAdmission,
                    "home",
                    () -> 1,
                    RoomView.unknown(),
                    new SplittableRandom(2));

    /** Registers four chains of two engines each. */
    @BeforeEach
    void register() {
        for (String domain : List.of("home", "b", "c", "d")) {
            for (int half = 0; half < 2; half++) {
                mRegister.put(
                        new UpstreamEntry(
                                domain + half,
                                "llm",
                                domain + half + ":1",
                                domain,
                                false,
                                10,
                                Optional.of("card"),
                                Optional.of(new LayerRange(half * 4, half * 4 + 4)),
                                1,
                                0));
            }
        }
    }

    private Set<String> chosenEngines(Set<String> tried) {
        Optional<Target> target = mPolicy.choose(SERVICE, tried, 0);
        Set<String> ids = new HashSet<>();
        target.flatMap(Target::chain)
                .ifPresent(c -> c.stages().forEach(stage -> ids.add(stage.engine().id())));
        return ids;
    }

    /** When a chain with many streams breaks, they must not all resume on the same chain. */
    @Test
    void theStreamsOfABrokenChainAreSpreadOverTheOthers() {
        Set<String> firstEngines = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            Target target = mPolicy.choose(SERVICE, Set.of("home0", "home1"), 0).orElseThrow();
            mPolicy.onSent(target);
            firstEngines.add(target.upstream().id());
        }
        assertEquals(Set.of("b0", "c0", "d0"), firstEngines);
    }

    /** The remaining stages of several broken chains together cover the layers. */
    @Test
    void aChainIsComposedOfTheRemainingStagesOfBrokenChains() {
        assertEquals(
                Set.of("d0", "home1"),
                chosenEngines(Set.of("home0", "b0", "c0", "b1", "c1", "d1")));
    }

    /** After a partition heals, every chain has an engine that is excluded for its failures. */
    @Test
    void excludedEnginesAreUsedBeforeARequestIsRefused() {
        for (String domain : List.of("home", "b", "c", "d")) {
            mHealth.onFailure(domain + 0, 0);
        }
        Set<String> chain = chosenEngines(Set.of("b0", "b1"));
        assertEquals(2, chain.size());
        assertFalse(chain.contains("b0"));
    }

    @Test
    void noTargetIsChosenIfTheRequestFailedAtEveryFirstEngine() {
        assertTrue(chosenEngines(Set.of("home0", "b0", "c0", "d0")).isEmpty());
    }

    private UpstreamEntry engine(String id) {
        return mRegister.findById(id).orElseThrow();
    }

    private static UpstreamAdmission.Notice leaving() {
        return new UpstreamAdmission.Notice(true, Optional.empty(), OptionalDouble.empty());
    }

    private static UpstreamAdmission.Notice pause(Duration pause) {
        return new UpstreamAdmission.Notice(false, Optional.of(pause), OptionalDouble.empty());
    }

    /** The register may list an engine as live that says itself that it is leaving. */
    @Test
    void sendsNothingThroughAnEngineThatSaysThatItIsLeaving() {
        List<String> leaving = List.of("home0", "b1", "c0");
        leaving.forEach(id -> mAdmission.onAnswer(engine(id), leaving(), 0));
        for (int i = 0; i < 20; i++) {
            Set<String> engines = chosenEngines(Set.of());
            assertFalse(engines.isEmpty());
            assertTrue(leaving.stream().noneMatch(engines::contains), engines.toString());
        }
    }

    /** A pause holds for excluded engines too, and also if nothing else is left. */
    @Test
    void sendsNothingToAnEngineThatAsksForAPauseEvenIfNoneIsLeft() {
        for (String domain : List.of("home", "b", "c", "d")) {
            mAdmission.onAnswer(engine(domain + "0"), pause(Duration.ofSeconds(2)), 0);
            mHealth.onFailure(domain + "0", 0);
        }
        mAdmission.onAnswer(engine("home1"), pause(Duration.ofSeconds(3)), 0);
        assertEquals(Optional.empty(), mPolicy.choose(SERVICE, Set.of(), 0));
        assertTrue(
                mPolicy.choose(SERVICE, Set.of(), Duration.ofMillis(2001).toNanos()).isPresent());
    }
}
