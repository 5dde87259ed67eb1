package org.amaranthpick.server.daemon;

import org.amaranthpick.core.admit.LocalAdmission;
import org.amaranthpick.core.request.EstimatingPromptAnalyzer;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.core.request.RequestSettings;
import org.amaranthpick.core.request.RouterParts;
import org.amaranthpick.core.retry.BudgetRetryPolicy;
import org.amaranthpick.core.route.Routing;

/** Request path of a daemon: admission, chain choice, retries and the router over them. */
final class RequestPath {
    private static final int RETRY_RANDOM = 3;
    private static final int CHOICE_RANDOM = 4;
    private static final int MAX_WAITING = 256;

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
        RouterParts parts =
                new RouterParts(
                        routing.chooser(),
                        routing.feedback(),
                        new LocalAdmission(MAX_WAITING, base.decisions()),
                        new BudgetRetryPolicy(
                                BudgetRetryPolicy.Settings.DEFAULT,
                                base.random(RETRY_RANDOM),
                                base.decisions()),
                        control.claims(),
                        base.upstreams(),
                        routing.services()::choose,
                        new EstimatingPromptAnalyzer(),
                        base.scheduler(),
                        base.decisions(),
                        base.invariants());
        mRouter = new RequestRouter(parts, RequestSettings.defaults());
    }

    RequestRouter router() {
        return mRouter;
    }
}
