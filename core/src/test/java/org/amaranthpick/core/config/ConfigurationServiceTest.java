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
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(5);
    private static final Duration WARM_UP = Duration.ofSeconds(15);

    @ParameterizedTest
    @CsvSource({"1,1,0", "1,12,0", "3,12,0", "10,8,0", "3,12,0.1", "10,8,0.1"})
    void generationIsInForceEverywhereWithinTheLimit(int domains, int perDomain, double lossRate) {
        ConfigurationCluster cluster = new ConfigurationCluster(1, domains, perDomain);
        cluster.run(WARM_UP);
        cluster.mMembers.mPeers.setLossRate(lossRate);
        for (int marker = 1; marker <= 5; marker++) {
            long generation = cluster.publishAccepted(marker);
            cluster.run(PROPAGATION_LIMIT);
            assertEquals(cluster.size(), cluster.countInForce(generation));
        }
    }

    @Test
    void storeCallsAreBoundedByTheNumberOfWatchers() {
        ConfigurationCluster cluster = new ConfigurationCluster(2, 3, 12);
        cluster.run(WARM_UP);
        long before = storeCalls(cluster);
        cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        int watchers = 3 * DomainWatchers.WATCHERS_PER_DOMAIN;
        int callsPerWatcher = 1 + ManifestChunks.split(Manifests.of(40, 1)).chunks().size();
        assertTrue(storeCalls(cluster) - before <= (long) watchers * callsPerWatcher);
    }

    @Test
    void servesAndStartsDuringAnHourLongStoreOutage() {
        ConfigurationCluster cluster = new ConfigurationCluster(3, 3, 6);
        cluster.run(WARM_UP);
        cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        setStoreDown(cluster, 3, true);
        cluster.run(Duration.ofMinutes(60));
        cluster.restart(4);
        assertFalse(cluster.mServices.get(4).isReady());
        cluster.run(PROPAGATION_LIMIT);
        assertTrue(cluster.mServices.get(4).isReady());
        assertEquals(18, cluster.countInForce(1));
        setStoreDown(cluster, 3, false);
        long generation = cluster.publishAccepted(2);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(18, cluster.countInForce(generation));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void isolatedDomainCatchesUpThroughTheFirstRestoredPath(boolean peersFirst) {
        ConfigurationCluster cluster = new ConfigurationCluster(4, 3, 6);
        cluster.run(WARM_UP);
        cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        cluster.storeOf(0).mDown = true;
        cluster.mMembers.mPeers.setCut((from, to) -> isInFirstDomain(from) != isInFirstDomain(to));
        long generation = cluster.publishAccepted(2);
        cluster.run(Duration.ofMinutes(10));
        assertEquals(12, cluster.countInForce(generation));
        cluster.restart(2);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(1, cluster.mServices.get(2).generation());
        restorePath(cluster, peersFirst);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(18, cluster.countInForce(generation));
        restorePath(cluster, !peersFirst);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(18, cluster.countInForce(generation));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void domainWithoutStoreOrPeersStaysWithinTheLimit(boolean cutFromStore) {
        ConfigurationCluster cluster = new ConfigurationCluster(5, 3, 6);
        cluster.run(WARM_UP);
        if (cutFromStore) {
            cluster.storeOf(0).mDown = true;
        } else {
            cluster.mMembers.mPeers.setCut(
                    (from, to) -> isInFirstDomain(from) != isInFirstDomain(to));
        }
        cluster.run(Duration.ofSeconds(30));
        long generation = cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(18, cluster.countInForce(generation));
    }

    @Test
    void silentWatchesAreReplaced() {
        ConfigurationCluster cluster = new ConfigurationCluster(6, 2, 6);
        cluster.run(WARM_UP);
        cluster.storeOf(0).mWatchesSilent = true;
        cluster.storeOf(1).mWatchesSilent = true;
        long generation = cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(12, cluster.countInForce(generation));
        assertTrue(cluster.mServices.stream().anyMatch(service -> service.watchesReplaced() > 0));
    }

    @Test
    void pausedDaemonCatchesUpWithoutGoingBack() {
        ConfigurationCluster cluster = new ConfigurationCluster(7, 2, 6);
        cluster.run(WARM_UP);
        cluster.publishAccepted(1);
        cluster.run(PROPAGATION_LIMIT);
        Identity host = MemberCluster.host(3);
        cluster.mMembers.setPaused(host, true);
        cluster.publishAccepted(2);
        cluster.publishAccepted(3);
        cluster.run(Duration.ofMinutes(2));
        assertEquals(11, cluster.countInForce(3));
        cluster.mMembers.setPaused(host, false);
        cluster.run(PROPAGATION_LIMIT);
        assertEquals(12, cluster.countInForce(3));
    }

    @Test
    void startingDaemonPrefersNewerPeerGenerationToStaleRead() {
        ConfigurationCluster cluster = new ConfigurationCluster(8, 2, 6);
        cluster.run(WARM_UP);
        cluster.publishAccepted(1);
        cluster.storeOf(0).serveStaleRoot();
        cluster.publishAccepted(2);
        cluster.run(PROPAGATION_LIMIT);
        cluster.restart(1);
        while (!cluster.mServices.get(1).isReady()) {
            cluster.run(Duration.ofMillis(100));
        }
        assertEquals(2, cluster.mServices.get(1).generation());
    }

    @Test
    void statusListsLaggards() {
        ConfigurationCluster cluster = new ConfigurationCluster(9, 3, 6);
        cluster.run(WARM_UP);
        Identity host = MemberCluster.host(8);
        cluster.mMembers.setPaused(host, true);
        long generation = cluster.publishAccepted(1);
        cluster.run(Duration.ofSeconds(2));
        InForceStatus status = status(cluster, generation);
        assertEquals(List.of(host), status.laggards());
        cluster.mMembers.setPaused(host, false);
        cluster.run(PROPAGATION_LIMIT);
        assertTrue(status(cluster, generation).everywhere());
        cluster.mMembers.mPeers.setCut((from, to) -> isInFirstDomain(from) != isInFirstDomain(to));
        assertEquals(
                List.of(MemberCluster.domain(1), MemberCluster.domain(2)),
                status(cluster, generation).unanswered());
    }

    private static InForceStatus status(ConfigurationCluster cluster, long generation) {
        List<InForceStatus> statuses = new ArrayList<>();
        cluster.mServices.get(0).queryInForce(generation).thenAccept(statuses::add);
        cluster.run(Duration.ofSeconds(2));
        return statuses.get(0);
    }

    private static void restorePath(ConfigurationCluster cluster, boolean peers) {
        if (peers) {
            cluster.mMembers.mPeers.setCut((from, to) -> false);
        } else {
            cluster.storeOf(0).mDown = false;
        }
    }

    private static void setStoreDown(ConfigurationCluster cluster, int domains, boolean down) {
        for (int i = 0; i < domains; i++) {
            cluster.storeOf(i).mDown = down;
        }
    }

    private static long storeCalls(ConfigurationCluster cluster) {
        return cluster.mStoreByDomain.values().stream().mapToLong(store -> store.mCalls).sum();
    }

    private static boolean isInFirstDomain(Identity host) {
        return Integer.parseInt(host.name().substring(1)) < 6;
    }
}
