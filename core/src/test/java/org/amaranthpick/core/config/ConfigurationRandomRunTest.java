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

/**
 * Runs publications under random faults of daemons, network and store. Guards against a daemon that
 * goes back to an older generation, installs content that was not accepted under its generation, or
 * does not catch up after the faults have ended.
 */
class ConfigurationRandomRunTest {
    private static final int DOMAINS = 3;
    private static final int PER_DOMAIN = 4;
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(30);

    /** Kinds of faults, repairs and publications. */
    enum ActionKind {
        PUBLISH,
        PUBLISH_WITH_LOST_ANSWER,
        CUT_PEERS,
        SPLIT_HOSTS,
        HEAL_PEERS,
        STORE_DOWN,
        STORE_UP,
        SILENCE_WATCHES,
        RESTORE_WATCHES,
        RESTART,
        PAUSE,
        RESUME,
        LOSE_MESSAGES,
        DELIVER_MESSAGES,
        WAIT
    }

    record Step(ActionKind action, int target, int waitMs) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(ActionKind.class),
                                Arbitraries.integers().between(0, DOMAINS * PER_DOMAIN - 1),
                                Arbitraries.integers().between(0, 8_000))
                        .as(Step::new);
        return step.list().ofMinSize(10).ofMaxSize(40);
    }

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void convergesWithoutGoingBack(@ForAll("steps") List<Step> steps) {
        ConfigurationCluster cluster =
                new ConfigurationCluster(steps.hashCode(), DOMAINS, PER_DOMAIN);
        Map<Long, Integer> accepted = new HashMap<>();
        cluster.run(Duration.ofSeconds(10));
        for (int i = 0; i < steps.size(); i++) {
            perform(cluster, steps.get(i), i + 1, accepted);
            cluster.run(Duration.ofMillis(steps.get(i).waitMs()));
            checkAcceptedContent(cluster, accepted);
        }
        healAll(cluster);
        cluster.run(RECOVERY_TIME);
        checkAcceptedContent(cluster, accepted);
        long newest = accepted.keySet().stream().mapToLong(g -> g).max().orElse(0);
        assertEquals(cluster.size(), cluster.countInForce(newest));
        cluster.mMembers.mDaemons.forEach(d -> assertEquals(cluster.size(), d.members().size()));
    }

    private static void perform(
            ConfigurationCluster cluster, Step step, int marker, Map<Long, Integer> accepted) {
        int domain = step.target() % DOMAINS;
        Identity host = MemberCluster.host(step.target());
        switch (step.action()) {
            case PUBLISH -> publish(cluster, marker, accepted);
            case PUBLISH_WITH_LOST_ANSWER -> {
                cluster.mPublisherStore.mRootAnswersToLose = step.target() % 3;
                cluster.mPublisherStore.mRootRequestsToLose = step.target() % 2;
                publish(cluster, marker, accepted);
            }
            case CUT_PEERS ->
                    cluster.mMembers.mPeers.setCut(
                            (from, to) -> domainOf(from) == domain != (domainOf(to) == domain));
            case SPLIT_HOSTS ->
                    cluster.mMembers.mPeers.setCut(
                            (from, to) ->
                                    isInFirstGroup(from, step.target())
                                            != isInFirstGroup(to, step.target()));
            case HEAL_PEERS -> cluster.mMembers.mPeers.setCut((from, to) -> false);
            case STORE_DOWN -> cluster.storeOf(domain).mDown = true;
            case STORE_UP -> cluster.storeOf(domain).mDown = false;
            case SILENCE_WATCHES -> cluster.storeOf(domain).mWatchesSilent = true;
            case RESTORE_WATCHES -> cluster.storeOf(domain).mWatchesSilent = false;
            case RESTART -> {
                cluster.mMembers.setPaused(host, false);
                cluster.restart(step.target());
            }
            case PAUSE -> cluster.mMembers.setPaused(host, true);
            case RESUME -> cluster.mMembers.setPaused(host, false);
            case LOSE_MESSAGES -> cluster.mMembers.mPeers.setLossRate(0.1);
            case DELIVER_MESSAGES -> cluster.mMembers.mPeers.setLossRate(0);
            default -> {
                // WAIT only lets time pass.
            }
        }
    }

    private static void publish(
            ConfigurationCluster cluster, int marker, Map<Long, Integer> accepted) {
        cluster.publish(marker)
                .thenAccept(
                        result -> {
                            if (result instanceof PublishResult.Accepted a
                                    && accepted.put(a.generation(), marker) != null) {
                                throw new AssertionError("generation accepted twice");
                            }
                        });
    }

    private static void healAll(ConfigurationCluster cluster) {
        cluster.mMembers.mPeers.setCut((from, to) -> false);
        cluster.mMembers.mPeers.setLossRate(0);
        for (int i = 0; i < DOMAINS; i++) {
            cluster.storeOf(i).mDown = false;
            cluster.storeOf(i).mWatchesSilent = false;
        }
        for (int i = 0; i < cluster.size(); i++) {
            cluster.mMembers.setPaused(MemberCluster.host(i), false);
        }
    }

    /** Checks the content in force, for generations whose acceptance is already known. */
    private static void checkAcceptedContent(
            ConfigurationCluster cluster, Map<Long, Integer> accepted) {
        for (ConfigurationService service : cluster.mServices) {
            service.current()
                    .filter(c -> accepted.containsKey(c.generation()))
                    .ifPresent(
                            c -> assertEquals(accepted.get(c.generation()), Manifests.marker(c)));
        }
    }

    /** Splits the hosts into two groups, across and within domains. */
    private static boolean isInFirstGroup(Identity host, int target) {
        int number = Integer.parseInt(host.name().substring(1));
        return ((number * 7 + target) >> (target % 3)) % 2 == 0;
    }

    private static int domainOf(Identity host) {
        return Integer.parseInt(host.name().substring(1)) / PER_DOMAIN;
    }
}
