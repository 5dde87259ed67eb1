package org.amaranthpick.core.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    @ParameterizedTest
    @CsvSource({"1,1", "1,12", "3,4", "3,12", "10,8"})
    void everyDaemonLearnsOfEveryOther(int domains, int perDomain) {
        MemberCluster cluster = new MemberCluster(1, domains, perDomain);
        cluster.runSeconds(20);
        for (Membership daemon : cluster.mDaemons) {
            assertEquals(domains * perDomain, daemon.members().size());
            assertTrue(daemon.unreachableDomains().isEmpty());
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.2})
    void keepsAllMembersUnderMessageLoss(double lossRate) {
        MemberCluster cluster = new MemberCluster(2, 3, 8);
        cluster.runSeconds(20);
        cluster.mPeers.setLossRate(lossRate);
        cluster.runSeconds(120);
        cluster.mPeers.setLossRate(0);
        cluster.runSeconds(15);
        cluster.mDaemons.forEach(daemon -> assertEquals(24, daemon.members().size()));
    }

    @Test
    void detectsADeadDaemon() {
        MemberCluster cluster = new MemberCluster(3, 3, 12);
        cluster.runSeconds(20);
        cluster.mPeers.setDown(MemberCluster.host(5), true);
        cluster.runSeconds(15);
        assertEquals(
                35,
                cluster.countInState(
                        cluster.daemonsExcept(5), MemberCluster.host(5), MemberState.DEAD));
        cluster.daemonsExcept(5).forEach(daemon -> assertEquals(35, daemon.members().size()));
    }

    @ParameterizedTest
    @CsvSource({"0,1", "0.1,2", "0.3,3"})
    void leavingIsKnownEverywhereWithinTheBound(double lossRate, long seed) {
        MemberCluster cluster = new MemberCluster(seed, 10, 8);
        cluster.runSeconds(20);
        cluster.mPeers.setLossRate(lossRate);
        cluster.mDaemons.get(17).announceLeaving();
        cluster.run(LEAVING_BOUND);
        Identity host = MemberCluster.host(17);
        assertEquals(80, cluster.countInState(cluster.mDaemons, host, MemberState.LEAVING));
        cluster.mDaemons.forEach(
                daemon -> assertTrue(daemon.leaving().leavingSince(host).isPresent()));
    }

    @Test
    void leavingOfAnUpstreamIsKnownEverywhereUntilItsNextBoot() {
        MemberCluster cluster = new MemberCluster(4, 3, 8);
        cluster.runSeconds(20);
        Identity upstream = new Identity("f", ResourceKind.UPSTREAM, "engine-1");
        Identity domain = MemberCluster.domain(0);
        cluster.mDaemons.get(0).publishLeavingNotice(upstream, domain, "boot-1", true);
        cluster.run(LEAVING_BOUND);
        cluster.mDaemons.forEach(d -> assertTrue(d.leaving().leavingSince(upstream).isPresent()));
        cluster.mDaemons.get(1).publishLeavingNotice(upstream, domain, "boot-1", false);
        cluster.run(LEAVING_BOUND);
        cluster.mDaemons.forEach(d -> assertTrue(d.leaving().leavingSince(upstream).isPresent()));
        cluster.mDaemons.get(1).publishLeavingNotice(upstream, domain, "boot-2", false);
        cluster.run(LEAVING_BOUND);
        cluster.mDaemons.forEach(d -> assertTrue(d.leaving().leavingSince(upstream).isEmpty()));
    }

    @Test
    void leavingLastsUntilTheNextStart() {
        MemberCluster cluster = new MemberCluster(5, 2, 6);
        cluster.runSeconds(20);
        cluster.mDaemons.get(3).announceLeaving();
        cluster.mPeers.setLossRate(0.3);
        cluster.runSeconds(30);
        cluster.mPeers.setLossRate(0);
        cluster.runSeconds(20);
        Identity host = MemberCluster.host(3);
        assertEquals(12, cluster.countInState(cluster.mDaemons, host, MemberState.LEAVING));
        cluster.mDaemons.get(3).close();
        cluster.mDaemons.set(
                3, cluster.start(host, MemberCluster.address(3), MemberCluster.domain(0)));
        cluster.runSeconds(20);
        assertEquals(12, cluster.countInState(cluster.mDaemons, host, MemberState.ALIVE));
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 60, 1200})
    void aPausedDaemonIsAMemberAfterItResumes(long pauseSeconds) {
        MemberCluster cluster = new MemberCluster(6, 2, 8);
        cluster.runSeconds(20);
        Identity host = MemberCluster.host(2);
        cluster.setPaused(host, true);
        cluster.runSeconds(pauseSeconds);
        cluster.setPaused(host, false);
        cluster.runSeconds(20);
        cluster.mDaemons.forEach(daemon -> assertEquals(16, daemon.members().size()));
    }

    @Test
    void aResumedDaemonSuspectsNobody() {
        MemberCluster cluster = new MemberCluster(14, 1, 8);
        cluster.mPeers.setDelay(Duration.ofMillis(100), Duration.ofMillis(140));
        cluster.runSeconds(20);
        Identity host = MemberCluster.host(2);
        for (int i = 0; i < 20; i++) {
            cluster.setPaused(host, true);
            cluster.runSeconds(10);
            cluster.setPaused(host, false);
            cluster.run(Duration.ofMillis(8130));
        }
        assertEquals(
                List.of(),
                cluster.mLog.stream()
                        .filter(l -> l.startsWith(host + ":") && l.contains("SUSPECT"))
                        .toList());
    }

    @Test
    void aDaemonRefutesItsDeath() {
        MemberCluster cluster = new MemberCluster(7, 2, 8);
        cluster.runSeconds(20);
        Identity host = MemberCluster.host(2);
        cluster.mPeers.setDown(host, true);
        cluster.runSeconds(30);
        assertEquals(15, cluster.countInState(cluster.daemonsExcept(2), host, MemberState.DEAD));
        cluster.mPeers.setDown(host, false);
        cluster.runSeconds(20);
        assertEquals(16, cluster.countInState(cluster.mDaemons, host, MemberState.ALIVE));
        cluster.mDaemons.forEach(daemon -> assertEquals(16, daemon.members().size()));
    }

    @ParameterizedTest
    @ValueSource(longs = {30, 3600})
    void aPartitionedDomainKeepsAllMembers(long cutSeconds) {
        MemberCluster cluster = new MemberCluster(8, 3, 8);
        cluster.runSeconds(20);
        cluster.mPeers.setCut((from, to) -> inFirstDomain(from) != inFirstDomain(to));
        cluster.runSeconds(cutSeconds);
        for (Membership daemon : cluster.mDaemons) {
            assertEquals(24, daemon.members().size());
        }
        assertEquals(
                Set.of(MemberCluster.domain(1), MemberCluster.domain(2)),
                cluster.mDaemons.get(0).unreachableDomains());
        assertEquals(
                Set.of(MemberCluster.domain(0)), cluster.mDaemons.get(20).unreachableDomains());
        cluster.mPeers.setCut((from, to) -> false);
        cluster.runSeconds(20);
        for (Membership daemon : cluster.mDaemons) {
            assertEquals(Set.of(), daemon.unreachableDomains());
        }
    }

    @Test
    void removesDaemonsThatDiedDuringAPartition() {
        MemberCluster cluster = new MemberCluster(9, 3, 8);
        cluster.runSeconds(20);
        cluster.mPeers.setCut((from, to) -> inFirstDomain(from) != inFirstDomain(to));
        cluster.mPeers.setDown(MemberCluster.host(12), true);
        cluster.mPeers.setDown(MemberCluster.host(3), true);
        cluster.runSeconds(3600);
        cluster.mPeers.setCut((from, to) -> false);
        cluster.runSeconds(30);
        for (Membership daemon : cluster.daemonsExcept(3, 12)) {
            assertEquals(22, daemon.members().size());
        }
    }

    @Test
    void ignoresADirectoryEntryOlderThanTheStart() {
        MemberCluster cluster = new MemberCluster(10, 2, 6);
        cluster.runSeconds(40);
        Identity host = MemberCluster.host(4);
        Instant leftAt = cluster.mScheduler.instant();
        cluster.mDaemons.get(4).close();
        cluster.runSeconds(1);
        cluster.mDaemons.set(
                4, cluster.start(host, MemberCluster.address(4), MemberCluster.domain(0)));
        cluster.mDirectory.put(
                host,
                new ListedHost(
                        host,
                        Optional.of(MemberCluster.address(4)),
                        MemberCluster.domain(0),
                        "r",
                        Optional.of(leftAt)));
        cluster.runSeconds(30);
        assertEquals(12, cluster.countInState(cluster.mDaemons, host, MemberState.ALIVE));
    }

    @Test
    void appliesLeavingFromTheHostDirectory() {
        MemberCluster cluster = new MemberCluster(11, 2, 6);
        cluster.runSeconds(20);
        Identity host = MemberCluster.host(4);
        cluster.mDirectory.put(
                host,
                new ListedHost(
                        host,
                        Optional.of(MemberCluster.address(4)),
                        MemberCluster.domain(0),
                        "r",
                        Optional.of(cluster.mScheduler.instant())));
        Duration bound = MembershipSettings.DEFAULT.directoryPeriod().plus(LEAVING_BOUND);
        cluster.run(bound);
        assertEquals(12, cluster.countInState(cluster.mDaemons, host, MemberState.LEAVING));
    }

    @Test
    void aNewHostAtTheSameAddressReplacesTheOldOne() {
        MemberCluster cluster = new MemberCluster(12, 2, 6);
        cluster.runSeconds(20);
        cluster.mDaemons.get(4).close();
        cluster.mPeers.setDown(MemberCluster.host(4), true);
        Identity next = MemberCluster.host(99);
        cluster.addToDirectory(next, MemberCluster.address(4), MemberCluster.domain(0));
        cluster.mDaemons.set(
                4, cluster.start(next, MemberCluster.address(4), MemberCluster.domain(0)));
        cluster.runSeconds(5);
        for (Membership daemon : cluster.mDaemons) {
            assertEquals(Optional.empty(), daemon.member(MemberCluster.host(4)));
            assertTrue(daemon.member(next).isPresent());
        }
    }

    @Test
    void trafficPerDaemonDoesNotGrowWithTheirNumber() {
        List<Double> bytesPerSecond =
                List.of(bytesPerSecondPerDaemon(2, 6), bytesPerSecondPerDaemon(2, 40));
        assertTrue(bytesPerSecond.get(1) < 2 * bytesPerSecond.get(0), bytesPerSecond::toString);
    }

    private static double bytesPerSecondPerDaemon(int domains, int perDomain) {
        MemberCluster cluster = new MemberCluster(13, domains, perDomain);
        cluster.runSeconds(60);
        long before = cluster.sentBytes();
        cluster.runSeconds(60);
        return (cluster.sentBytes() - before) / 60.0 / (domains * perDomain);
    }

    private static boolean inFirstDomain(Identity host) {
        return Integer.parseInt(host.name().substring(1)) < 8;
    }
}
