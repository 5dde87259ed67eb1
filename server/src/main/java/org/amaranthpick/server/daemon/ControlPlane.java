package org.amaranthpick.server.daemon;

import java.io.IOException;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.claim.ClaimSettings;
import org.amaranthpick.core.claim.JournalClaims;
import org.amaranthpick.core.config.ConfigurationInForce;
import org.amaranthpick.core.config.ConfigurationService;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.member.Incarnations;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.Membership;
import org.amaranthpick.core.member.MembershipSettings;
import org.amaranthpick.core.observe.DigestSettings;
import org.amaranthpick.core.observe.Observation;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.placement.PlacementContext;
import org.amaranthpick.core.placement.PlacementService;
import org.amaranthpick.core.placement.PlacementSettings;
import org.amaranthpick.core.retry.CappedOutlierEjection;
import org.amaranthpick.core.retry.OutlierEjection;
import org.amaranthpick.core.retry.RampSlowStart;
import org.amaranthpick.core.retry.SlowStart;
import org.amaranthpick.server.peer.PeerCounters;

/** Control jobs of a daemon: membership, configuration, observation, claims, placement. */
final class ControlPlane implements AutoCloseable {
    private static final int LOOP_RANDOM = 1;
    private static final int PLACEMENT_RANDOM = 2;
    private static final int CONFIGURATION_RANDOM = 4;
    private static final int MEMBERSHIP_RANDOM = 5;

    private final PeerAccess mPeers;
    private final ConfigurationInForce mInForce;
    private final ConfigurationService mConfiguration;
    private final Membership mMembers;
    private final JournalClaims mClaims;
    private final PlacementService mPlacement;
    private final ControlLoop mLoop;
    private final PrefixIndex mPrefixes;
    private final OutlierEjection mEjection;
    private final RampSlowStart mSlowStart;

    ControlPlane(Foundation base) throws IOException {
        mPeers = new PeerAccess(base);
        PeerNetwork network = mPeers.transport();
        mMembers = membership(base, network);
        mPeers.findAddressesBy(mMembers::addressOf);
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
        mMembers.setGenerationExchange(mConfiguration);
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
        Observation observation =
                new Observation(
                        new Observation.Context(
                                base.board(),
                                mInForce,
                                mMembers,
                                base.upstreams(),
                                network,
                                base.controlScheduler(),
                                DigestSettings.DEFAULT));
        mPrefixes = observation.prefixes();
        observation.controllers().forEach(mLoop::add);
        mEjection =
                new CappedOutlierEjection(
                        CappedOutlierEjection.Settings.DEFAULT,
                        mInForce,
                        base.scheduler(),
                        base.decisions());
        mSlowStart = new RampSlowStart(base.board(), base.scheduler());
        mLoop.add(mSlowStart);
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

    PeerNetwork network() {
        return mPeers.transport();
    }

    PeerCounters peerCounters() {
        return mPeers.transport().counters();
    }

    Membership members() {
        return mMembers;
    }

    /** Counts the control shards that this daemon owns. */
    int leases() {
        return mPlacement.leases().size();
    }

    /** Runs one more control job. */
    void run(Controller controller) {
        mLoop.add(controller);
    }

    PrefixIndex prefixes() {
        return mPrefixes;
    }

    OutlierEjection ejection() {
        return mEjection;
    }

    SlowStart slowStart() {
        return mSlowStart;
    }

    JournalClaims claims() {
        return mClaims;
    }

    @Override
    public void close() {
        mLoop.close();
        mPlacement.close();
        mConfiguration.close();
        mMembers.close();
        mPeers.close();
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
