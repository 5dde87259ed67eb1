package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.amaranthpick.core.member.MemberCluster;
import org.amaranthpick.core.name.Identity;

/** Random faults on daemons, paths and store; no daemon may fall back or hold other content. */
class ConfigurationRandomRunTest {
    private static final int DOMAINS = 3;
    private static final int PER_DOMAIN = 4;
    private static final Duration HEALED = Duration.ofSeconds(30);

    /** Faults and work, each on a target chosen by a number. */
    enum Action {
        PUBLISH,
        PUBLISH_WITH_LOST_ANSWER,
        CUT_PEERS,
        SPLIT_HOSTS,
        HEAL_PEERS,
        STORE_DOWN,
        STORE_UP,
        SILENCE_WATCHES,
        HEAR_WATCHES,
        RESTART,
        PAUSE,
        RESUME,
        LOSE_MESSAGES,
        KEEP_MESSAGES,
        WAIT
    }

    record Step(Action action, int target, int waitMs) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(Action.class),
                                Arbitraries.integers().between(0, DOMAINS * PER_DOMAIN - 1),
                                Arbitraries.integers().between(0, 8_000))
                        .as(Step::new);
        return step.list().ofMinSize(10).ofMaxSize(40);
    }

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void neverRevertsAndEndsInForceEverywhere(@ForAll("steps") List<Step> steps) {
        ConfigCluster cluster = new ConfigCluster(steps.hashCode(), DOMAINS, PER_DOMAIN);
        Map<Long, Integer> accepted = new HashMap<>();
        cluster.run(Duration.ofSeconds(10));
        for (int i = 0; i < steps.size(); i++) {
            act(cluster, steps.get(i), i + 1, accepted);
            cluster.run(Duration.ofMillis(steps.get(i).waitMs()));
            checkContent(cluster, accepted);
        }
        healAll(cluster);
        cluster.run(HEALED);
        checkContent(cluster, accepted);
        long newest = accepted.keySet().stream().mapToLong(g -> g).max().orElse(0);
        assertEquals(cluster.size(), cluster.inForce(newest));
        cluster.mMembers.mDaemons.forEach(d -> assertEquals(cluster.size(), d.members().size()));
    }

    private static void act(
            ConfigCluster cluster, Step step, int marker, Map<Long, Integer> accepted) {
        int domain = step.target() % DOMAINS;
        Identity host = MemberCluster.host(step.target());
        switch (step.action()) {
            case PUBLISH -> publish(cluster, marker, accepted);
            case PUBLISH_WITH_LOST_ANSWER -> {
                cluster.mOperatorPath.mLoseAnswersAfterWrite = step.target() % 3;
                cluster.mOperatorPath.mLoseRequests = step.target() % 2;
                publish(cluster, marker, accepted);
            }
            case CUT_PEERS ->
                    cluster.mMembers.mPeers.setCut(
                            (from, to) -> domainOf(from) == domain != (domainOf(to) == domain));
            case SPLIT_HOSTS ->
                    cluster.mMembers.mPeers.setCut(
                            (from, to) -> half(from, step.target()) != half(to, step.target()));
            case HEAL_PEERS -> cluster.mMembers.mPeers.setCut((from, to) -> false);
            case STORE_DOWN -> cluster.pathOf(domain).mDown = true;
            case STORE_UP -> cluster.pathOf(domain).mDown = false;
            case SILENCE_WATCHES -> cluster.pathOf(domain).mSilent = true;
            case HEAR_WATCHES -> cluster.pathOf(domain).mSilent = false;
            case RESTART -> {
                cluster.mMembers.setPaused(host, false);
                cluster.restart(step.target());
            }
            case PAUSE -> cluster.mMembers.setPaused(host, true);
            case RESUME -> cluster.mMembers.setPaused(host, false);
            case LOSE_MESSAGES -> cluster.mMembers.mPeers.setLossRate(0.1);
            case KEEP_MESSAGES -> cluster.mMembers.mPeers.setLossRate(0);
            default -> {
                // Time passes.
            }
        }
    }

    private static void publish(ConfigCluster cluster, int marker, Map<Long, Integer> accepted) {
        cluster.publish(marker)
                .thenAccept(
                        result -> {
                            if (result instanceof PublishResult.Accepted a
                                    && accepted.put(a.generation(), marker) != null) {
                                throw new AssertionError("generation accepted twice");
                            }
                        });
    }

    private static void healAll(ConfigCluster cluster) {
        cluster.mMembers.mPeers.setCut((from, to) -> false);
        cluster.mMembers.mPeers.setLossRate(0);
        for (int i = 0; i < DOMAINS; i++) {
            cluster.pathOf(i).mDown = false;
            cluster.pathOf(i).mSilent = false;
        }
        for (int i = 0; i < cluster.size(); i++) {
            cluster.mMembers.setPaused(MemberCluster.host(i), false);
        }
    }

    /** What is in force must be what was accepted, where the operator has been told already. */
    private static void checkContent(ConfigCluster cluster, Map<Long, Integer> accepted) {
        for (ConfigurationService service : cluster.mServices) {
            service.current()
                    .filter(c -> accepted.containsKey(c.generation()))
                    .ifPresent(
                            c -> assertEquals(accepted.get(c.generation()), Manifests.marker(c)));
        }
    }

    /** Splits the hosts in two, across and within domains. */
    private static boolean half(Identity host, int target) {
        int number = Integer.parseInt(host.name().substring(1));
        return ((number * 7 + target) >> (target % 3)) % 2 == 0;
    }

    private static int domainOf(Identity host) {
        return Integer.parseInt(host.name().substring(1)) / PER_DOMAIN;
    }
}
