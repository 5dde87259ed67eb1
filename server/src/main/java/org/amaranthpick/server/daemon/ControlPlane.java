package org.amaranthpick.server.daemon;

import org.amaranthpick.core.claim.ClaimSettings;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.claim.JournalClaims;
import org.amaranthpick.core.config.ConfigurationInForce;
import org.amaranthpick.core.config.ConfigurationService;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.member.Incarnations;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.Membership;
import org.amaranthpick.core.member.MembershipSettings;
import org.amaranthpick.core.observe.UpstreamPoller;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.placement.PlacementContext;
import org.amaranthpick.core.placement.PlacementService;
import org.amaranthpick.core.placement.PlacementSettings;

/** Control jobs of a daemon: membership, configuration, observation, claims, placement. */
final class ControlPlane implements AutoCloseable {
    private static final int LOOP_RANDOM = 1;
    private static final int PLACEMENT_RANDOM = 2;
    private static final int CONFIGURATION_RANDOM = 4;
    private static final int MEMBERSHIP_RANDOM = 5;

    private final ConfigurationInForce mInForce;
    private final ConfigurationService mConfiguration;
    private final Membership mMembers;
    private final Claims mClaims;
    private final PlacementService mPlacement;
    private final ControlLoop mLoop;

    ControlPlane(Foundation base) {
        PeerNetwork network = new SoloNetwork(base.settings().host());
        mMembers = membership(base, network);
        mInForce = new ConfigurationInForce(base.invariants(), base.decisions());
        ConfigurationStore stored =
                new ConfigurationStore(base.store(), base.scheduler(), base.tokens());
        mConfiguration =
                new ConfigurationService(
                        stored,
                        mInForce,
                        mMembers,
                        network,
                        base.controlScheduler(),
                        base.random(CONFIGURATION_RANDOM));
        mMembers.exchangeGenerations(mConfiguration);
        mClaims =
                new JournalClaims(
                        ClaimSettings.defaults(),
                        mMembers,
                        network,
                        base.store(),
                        base.tokens(),
                        base.scheduler(),
                        base.decisions());
        mPlacement = new PlacementService(placement(base, network));
        mLoop = new ControlLoop(base.controlScheduler(), base.random(LOOP_RANDOM));
        mLoop.add(
                new UpstreamPoller(
                        base.board(),
                        mInForce,
                        mMembers,
                        base.upstreams(),
                        base.controlScheduler()));
        mLoop.add(mPlacement);
    }

    void start() {
        mMembers.start();
        mConfiguration.start();
    }

    ConfigurationInForce configuration() {
        return mInForce;
    }

    ConfigurationService configurationService() {
        return mConfiguration;
    }

    Membership members() {
        return mMembers;
    }

    Claims claims() {
        return mClaims;
    }

    @Override
    public void close() {
        mLoop.close();
        mPlacement.close();
        mConfiguration.close();
        mMembers.close();
    }

    private static Membership membership(Foundation base, PeerNetwork network) {
        Settings settings = base.settings();
        Member self =
                new Member(
                        settings.host(),
                        settings.peerAddress(),
                        settings.domain(),
                        settings.region(),
                        Incarnations.atStart(base.scheduler().instant()),
                        MemberState.ALIVE);
        return new Membership(
                self,
                network,
                new StoreHostDirectory(base.store(), settings.seeds()),
                base.controlScheduler(),
                base.random(MEMBERSHIP_RANDOM),
                base.decisions(),
                MembershipSettings.DEFAULT);
    }

    private PlacementContext placement(Foundation base, PeerNetwork network) {
        return new PlacementContext(
                base.store(),
                base.upstreams(),
                mInForce,
                base.board(),
                mMembers,
                network,
                base.controlScheduler(),
                base.tokens(),
                base.decisions(),
                base.invariants(),
                base.random(PLACEMENT_RANDOM),
                PlacementSettings.defaults());
    }
}
