package org.amaranthpick.server.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.InForceStatus;
import org.amaranthpick.core.explain.DecisionTrail;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.server.operator.DaemonStatus;
import org.amaranthpick.server.operator.OperatorActions;

/** Answers operators from the parts of the daemon. */
final class DaemonActions implements OperatorActions {
    private final Daemon mDaemon;
    private final Foundation mBase;
    private final ControlPlane mControl;
    private final RequestRouter mRouter;

    DaemonActions(Daemon daemon, Foundation base, ControlPlane control, RequestRouter router) {
        mDaemon = daemon;
        mBase = base;
        mControl = control;
        mRouter = router;
    }

    @Override
    public Optional<String> notReady() {
        return mDaemon.notReady();
    }

    @Override
    public String metrics() {
        return mBase.metrics().toPrometheusText();
    }

    @Override
    public DaemonStatus status() {
        Optional<Configuration> configuration = mControl.configuration().current();
        return new DaemonStatus(
                mBase.settings().host().qualifiedName(),
                mBase.settings().domain().qualifiedName(),
                notReady().orElse("serving"),
                configuration.map(Configuration::generation).orElse(0L),
                configuration.map(Configuration::digest).orElse(""),
                mRouter.requestsInProgress(),
                mBase.invariants().total(),
                members(),
                upstreams());
    }

    @Override
    public List<DecisionTrail.Entry> explain(String subject) {
        return mBase.decisions().entries(subject);
    }

    @Override
    public CompletionStage<InForceStatus> inForce(long generation) {
        return mControl.configurationService().queryInForce(generation);
    }

    @Override
    public void drain() {
        mDaemon.drain();
    }

    private List<DaemonStatus.MemberStatus> members() {
        List<DaemonStatus.MemberStatus> members = new ArrayList<>();
        for (Member member : mControl.members().members()) {
            members.add(
                    new DaemonStatus.MemberStatus(
                            member.host().qualifiedName(),
                            member.domain().qualifiedName(),
                            member.state().name().toLowerCase(Locale.ROOT)));
        }
        return members;
    }

    private List<DaemonStatus.UpstreamState> upstreams() {
        List<DaemonStatus.UpstreamState> states = new ArrayList<>();
        mBase.board().upstreams().forEach((id, seen) -> states.add(state(seen)));
        states.sort(Comparator.comparing(DaemonStatus.UpstreamState::upstream));
        return states;
    }

    private DaemonStatus.UpstreamState state(UpstreamObservation seen) {
        Duration age = Duration.between(seen.sampledAt(), mBase.scheduler().instant());
        return new DaemonStatus.UpstreamState(
                seen.upstream().qualifiedName(),
                seen.reachability().name().toLowerCase(Locale.ROOT),
                seen.status().leaving(),
                seen.status().runningStreams(),
                age.toMillis());
    }
}
