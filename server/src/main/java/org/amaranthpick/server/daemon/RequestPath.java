package org.amaranthpick.server.daemon;

import java.time.Duration;
import org.amaranthpick.core.admit.LocalAdmission;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.request.EstimatingPromptAnalyzer;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.core.request.RequestSettings;
import org.amaranthpick.core.request.RouterParts;
import org.amaranthpick.core.request.SpreadInstances;
import org.amaranthpick.core.retry.BudgetRetryPolicy;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.route.CheapestChainChooser;
import org.amaranthpick.core.route.EngineDirectory;

/** Request path of a daemon: admission, chain choice, retries and the router over them. */
final class RequestPath {
    private static final int RETRY_RANDOM = 3;
    private static final int MAX_WAITING = 256;

    private final RequestRouter mRouter;

    RequestPath(Foundation base, ControlPlane control) {
        EngineDirectory engines =
                new EngineDirectory(base.board(), control.configuration(), id -> false);
        RouterParts parts =
                new RouterParts(
                        new CheapestChainChooser(engines, base.decisions()),
                        new NoFeedback(),
                        new LocalAdmission(MAX_WAITING, base.decisions()),
                        new BudgetRetryPolicy(
                                BudgetRetryPolicy.Settings.DEFAULT,
                                base.random(RETRY_RANDOM),
                                base.decisions()),
                        control.claims(),
                        base.upstreams(),
                        new SpreadInstances(base.settings().domain(), spec -> true),
                        new EstimatingPromptAnalyzer(),
                        base.scheduler(),
                        base.decisions(),
                        base.invariants());
        mRouter = new RequestRouter(parts, RequestSettings.defaults());
    }

    RequestRouter router() {
        return mRouter;
    }

    private static final class NoFeedback implements ChainFeedback {
        @Override
        public void onSent(Chain chain, int tokens) {}

        @Override
        public void onFirstToken(Chain chain, Duration elapsed) {}

        @Override
        public void onEnded(Chain chain) {}

        @Override
        public void onFailure(Identity upstream, String reason) {}
    }
}
