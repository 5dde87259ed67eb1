package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.member.MemberCluster;
import org.amaranthpick.core.name.Identity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationServiceTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final Duration WARM_UP = Duration.ofSeconds(15);

    @ParameterizedTest
    @CsvSource({"1,1,0", "1,12,0", "3,12,0", "10,8,0", "3,12,0.1", "10,8,0.1"})
    void inForceEverywhereInTime(int domains, int perDomain, double lossRate) {
        ConfigCluster cluster = new ConfigCluster(1, domains, perDomain);
        cluster.run(WARM_UP);
        cluster.mMembers.mPeers.setLossRate(lossRate);
        for (int marker = 1; marker <= 5; marker++) {
            long generation = cluster.publishNow(marker);
            cluster.run(BOUND);
            assertEquals(cluster.size(), cluster.inForce(generation));
        }
    }

    @Test
    void fewDaemonsCallTheStore() {
        ConfigCluster cluster = new ConfigCluster(2, 3, 12);
        cluster.run(WARM_UP);
        long before = calls(cluster);
        cluster.publishNow(1);
        cluster.run(BOUND);
        int watchers = 3 * DomainRoles.WATCHERS;
        int callsPerWatcher = 1 + ManifestChunks.split(Manifests.of(40, 1)).chunks().size();
        assertTrue(calls(cluster) - before <= (long) watchers * callsPerWatcher);
    }

    @Test
    void servesAndStartsWhileTheStoreIsOutForAnHour() {
        ConfigCluster cluster = new ConfigCluster(3, 3, 6);
        cluster.run(WARM_UP);
        cluster.publishNow(1);
        cluster.run(BOUND);
        setStoreDown(cluster, 3, true);
        cluster.run(Duration.ofMinutes(60));
        cluster.restart(4);
        assertFalse(cluster.mServices.get(4).isReady());
        cluster.run(BOUND);
        assertTrue(cluster.mServices.get(4).isReady());
        assertEquals(18, cluster.inForce(1));
        setStoreDown(cluster, 3, false);
        long generation = cluster.publishNow(2);
        cluster.run(BOUND);
        assertEquals(18, cluster.inForce(generation));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDomainCutFromStoreAndPeersCatchesUpInEitherOrder(boolean peersFirst) {
        ConfigCluster cluster = new ConfigCluster(4, 3, 6);
        cluster.run(WARM_UP);
        cluster.publishNow(1);
        cluster.run(BOUND);
        cluster.pathOf(0).mDown = true;
        cluster.mMembers.mPeers.setCut((from, to) -> inFirst(from) != inFirst(to));
        long generation = cluster.publishNow(2);
        cluster.run(Duration.ofMinutes(10));
        assertEquals(12, cluster.inForce(generation));
        cluster.restart(2);
        cluster.run(BOUND);
        assertEquals(1, cluster.mServices.get(2).generation());
        heal(cluster, peersFirst);
        cluster.run(BOUND);
        assertEquals(18, cluster.inForce(generation));
        heal(cluster, !peersFirst);
        cluster.run(BOUND);
        assertEquals(18, cluster.inForce(generation));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDomainWithOneWayOnlyIsInTime(boolean cutFromStore) {
        ConfigCluster cluster = new ConfigCluster(5, 3, 6);
        cluster.run(WARM_UP);
        if (cutFromStore) {
            cluster.pathOf(0).mDown = true;
        } else {
            cluster.mMembers.mPeers.setCut((from, to) -> inFirst(from) != inFirst(to));
        }
        cluster.run(Duration.ofSeconds(30));
        long generation = cluster.publishNow(1);
        cluster.run(BOUND);
        assertEquals(18, cluster.inForce(generation));
    }

    @Test
    void silentWatchesAreReplaced() {
        ConfigCluster cluster = new ConfigCluster(6, 2, 6);
        cluster.run(WARM_UP);
        cluster.pathOf(0).mSilent = true;
        cluster.pathOf(1).mSilent = true;
        long generation = cluster.publishNow(1);
        cluster.run(BOUND);
        assertEquals(12, cluster.inForce(generation));
        assertTrue(cluster.mServices.stream().anyMatch(service -> service.watchesReplaced() > 0));
    }

    @Test
    void aPausedDaemonCatchesUpAndNeverReverts() {
        ConfigCluster cluster = new ConfigCluster(7, 2, 6);
        cluster.run(WARM_UP);
        cluster.publishNow(1);
        cluster.run(BOUND);
        Identity host = MemberCluster.host(3);
        cluster.mMembers.setPaused(host, true);
        cluster.publishNow(2);
        cluster.publishNow(3);
        cluster.run(Duration.ofMinutes(2));
        assertEquals(11, cluster.inForce(3));
        cluster.mMembers.setPaused(host, false);
        cluster.run(BOUND);
        assertEquals(12, cluster.inForce(3));
    }

    @Test
    void aStartingDaemonTakesThePeersWordOverAStaleRead() {
        ConfigCluster cluster = new ConfigCluster(8, 2, 6);
        cluster.run(WARM_UP);
        cluster.publishNow(1);
        cluster.pathOf(0).freezeRoot();
        cluster.publishNow(2);
        cluster.run(BOUND);
        cluster.restart(1);
        while (!cluster.mServices.get(1).isReady()) {
            cluster.run(Duration.ofMillis(100));
        }
        assertEquals(2, cluster.mServices.get(1).generation());
    }

    @Test
    void namesTheLaggards() {
        ConfigCluster cluster = new ConfigCluster(9, 3, 6);
        cluster.run(WARM_UP);
        Identity host = MemberCluster.host(8);
        cluster.mMembers.setPaused(host, true);
        long generation = cluster.publishNow(1);
        cluster.run(Duration.ofSeconds(2));
        InForceStatus status = status(cluster, generation);
        assertEquals(List.of(host), status.laggards());
        cluster.mMembers.setPaused(host, false);
        cluster.run(BOUND);
        assertTrue(status(cluster, generation).everywhere());
        cluster.mMembers.mPeers.setCut((from, to) -> inFirst(from) != inFirst(to));
        assertEquals(
                List.of(MemberCluster.domain(1), MemberCluster.domain(2)),
                status(cluster, generation).unanswered());
    }

    private static InForceStatus status(ConfigCluster cluster, long generation) {
        List<InForceStatus> statuses = new ArrayList<>();
        cluster.mServices.get(0).inForce(generation).thenAccept(statuses::add);
        cluster.run(Duration.ofSeconds(2));
        return statuses.get(0);
    }

    private static void heal(ConfigCluster cluster, boolean peers) {
        if (peers) {
            cluster.mMembers.mPeers.setCut((from, to) -> false);
        } else {
            cluster.pathOf(0).mDown = false;
        }
    }

    private static void setStoreDown(ConfigCluster cluster, int domains, boolean down) {
        for (int i = 0; i < domains; i++) {
            cluster.pathOf(i).mDown = down;
        }
    }

    private static long calls(ConfigCluster cluster) {
        return cluster.mPaths.values().stream().mapToLong(path -> path.mCalls).sum();
    }

    private static boolean inFirst(Identity host) {
        return Integer.parseInt(host.name().substring(1)) < 6;
    }
}
