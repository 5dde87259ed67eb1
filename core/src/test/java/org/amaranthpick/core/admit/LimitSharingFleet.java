package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.member.FixedMembers;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.LossyPeerNetwork;
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.VirtualScheduler;

/** Several daemons in one process that share the limits of one workspace, on virtual time. */
final class LimitSharingFleet {
    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final Invariants mInvariants = new Invariants();
    private final LossyPeerNetwork mHub;
    private final WorkspaceSpec mWorkspace;
    private final Configuration mConfiguration;
    private final List<Member> mMembers = new ArrayList<>();
    private final Map<Identity, Daemon> mDaemons = new HashMap<>();

    /** One daemon. */
    final class Daemon {
        private final FixedMembers mMemberView;
        private final SharedLimits mLimits;
        private boolean mPaused;
        private boolean mDead;
        private int mRunning;
        private int mStarted;
        private long mTokens;

        Daemon(Member self) {
            mMemberView = new FixedMembers(self.host(), mMembers);
            mMemberView.set(mMembers);
            mLimits =
                    new SharedLimits(
                            new SharedLimits.Context(
                                    () -> Optional.of(mConfiguration),
                                    mMemberView,
                                    mHub.network(self.host()),
                                    mScheduler,
                                    (kind, subject, text) -> {},
                                    mInvariants));
            tick();
        }

        private void tick() {
            if (mDead) {
                return;
            }
            if (!mPaused) {
                mLimits.step();
            }
            mScheduler.schedule(mLimits.period(), this::tick);
        }

        boolean start(int tokens) {
            boolean started = mLimits.tryStart(mWorkspace, tokens);
            if (started) {
                mRunning++;
                mStarted++;
                mTokens += tokens;
            }
            mLimits.reportWaiting(mWorkspace, started ? 0 : 1, started ? 0 : tokens);
            return started;
        }

        void finish(int tokens) {
            if (mRunning > 0) {
                mRunning--;
                mLimits.finish(mWorkspace, tokens, tokens);
            }
        }

        void pause(boolean paused) {
            mPaused = paused;
        }

        boolean isPaused() {
            return mPaused;
        }

        int running() {
            return mRunning;
        }

        FixedMembers memberView() {
            return mMemberView;
        }
    }

    LimitSharingFleet(
            int domains,
            int perDomain,
            WorkspaceSpec.Limits limits,
            RandomGenerator random,
            double loss) {
        mHub = new LossyPeerNetwork(mScheduler, random, loss, ShareCodecs.all());
        mWorkspace =
                new WorkspaceSpec(
                        FleetFixture.id(ResourceKind.WORKSPACE, "planner"),
                        List.of(),
                        limits,
                        1,
                        List.of(),
                        List.of());
        List<DomainSpec> specs = new ArrayList<>();
        for (int d = 0; d < domains; d++) {
            specs.add(new DomainSpec(FleetFixture.domain("kl-" + d), "kl"));
            for (int i = 0; i < perDomain; i++) {
                Identity host = FleetFixture.id(ResourceKind.HOST, "h-" + d + "-" + i);
                mMembers.add(FixedMembers.member(host, FleetFixture.domain("kl-" + d), "kl"));
            }
        }
        List<String> fleets = List.of("kenanga");
        mConfiguration =
                new Configuration(
                        1,
                        "digest",
                        new Manifest(
                                fleets,
                                specs,
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(mWorkspace),
                                List.of()));
        mMembers.forEach(member -> mDaemons.put(member.host(), new Daemon(member)));
    }

    void restart(Member member) {
        mDaemons.get(member.host()).mDead = true;
        mDaemons.put(member.host(), new Daemon(member));
    }

    void advance(Duration step) {
        mScheduler.advance(step);
    }

    List<Member> members() {
        return mMembers;
    }

    Daemon daemon(int index) {
        return mDaemons.get(mMembers.get(index).host());
    }

    LossyPeerNetwork hub() {
        return mHub;
    }

    Invariants invariants() {
        return mInvariants;
    }

    /** Cuts or restores the network between two domains. */
    void cutDomains(int a, int b, boolean cut) {
        for (Member from : mMembers) {
            for (Member to : mMembers) {
                if (from.domain().equals(FleetFixture.domain("kl-" + a))
                        && to.domain().equals(FleetFixture.domain("kl-" + b))) {
                    mHub.setCut(from.host(), to.host(), cut);
                }
            }
        }
    }

    /** Returns the total number of slots that the daemons hold. */
    int slots() {
        return mDaemons.values().stream().mapToInt(d -> d.mLimits.slots(mWorkspace)).sum();
    }

    int startedRequests() {
        return mDaemons.values().stream().mapToInt(d -> d.mStarted).sum();
    }

    long startedTokens() {
        return mDaemons.values().stream().mapToLong(d -> d.mTokens).sum();
    }
}
