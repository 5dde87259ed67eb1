package org.amaranthpick.server.daemon;

import org.amaranthpick.core.admit.Admission;
import org.amaranthpick.core.admit.AdmissionSettings;
import org.amaranthpick.core.admit.DelayReportingFeedback;
import org.amaranthpick.core.admit.DelayWindowGate;
import org.amaranthpick.core.admit.FairAdmission;
import org.amaranthpick.core.admit.SharedLimits;
import org.amaranthpick.core.request.EstimatingPromptAnalyzer;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.core.request.RequestSettings;
import org.amaranthpick.core.request.RouterDependencies;
import org.amaranthpick.core.retry.BudgetRetryPolicy;
import org.amaranthpick.core.route.Routing;

/** Request path of a daemon: admission, chain choice, retries and the router over them. */
final class RequestPath {
    private static final int RETRY_RANDOM = 3;
    private static final int CHOICE_RANDOM = 4;

    private final RequestRouter mRouter;

    RequestPath(Foundation base, ControlPlane control) {
        Routing routing =
                new Routing(
                        new Routing.Context(
                                base.settings().domain(),
                                base.board(),
                                control.configuration(),
                                base.scheduler(),
                                base.random(CHOICE_RANDOM).nextLong(),
                                base.invariants()),
                        control.ejection(),
                        control.slowStart(),
                        control.prefixes());
        routing.controllers().forEach(control::run);
        DelayWindowGate gate =
                new DelayWindowGate(DelayWindowGate.Settings.DEFAULT, base.scheduler());
        SharedLimits limits =
                new SharedLimits(
                        new SharedLimits.Context(
                                control.configuration(),
                                control.members(),
                                control.network(),
                                base.scheduler(),
                                base.decisions(),
                                base.invariants()));
        control.run(limits);
        Admission admission =
                new FairAdmission(AdmissionSettings.DEFAULT, limits, gate, base.scheduler());
        RouterDependencies dependencies =
                new RouterDependencies(
                        routing.chainChooser(),
                        new DelayReportingFeedback(routing.feedback(), gate),
                        admission,
                        new BudgetRetryPolicy(
                                BudgetRetryPolicy.Settings.DEFAULT, base.random(RETRY_RANDOM)),
                        control.claims(),
                        base.upstreams(),
                        routing.serviceChooser()::choose,
                        new EstimatingPromptAnalyzer(),
                        base.scheduler(),
                        base.decisions(),
                        base.invariants());
        mRouter = new RequestRouter(dependencies, RequestSettings.defaults());
    }

    RequestRouter router() {
        return mRouter;
    }
}
