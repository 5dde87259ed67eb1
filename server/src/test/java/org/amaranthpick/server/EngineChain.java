package org.amaranthpick.server;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.standins.EngineFabric;
import org.amaranthpick.standins.EngineOptions;
import org.amaranthpick.standins.EngineStandIn;
import org.amaranthpick.standins.ExpectedText;

/** Two engines that hold one model version between them, with a configuration and a chain. */
public final class EngineChain implements AutoCloseable {
    /** Prompt of every call. */
    public static final String PROMPT = "plan the week";

    /** Tokens of every answer. */
    public static final int TOKENS = 5;

    private static final Identity MODEL = id(ResourceKind.MODEL_VERSION, "planner-1");
    private static final Identity DOMAIN = id(ResourceKind.DOMAIN, "kl-a");
    private static final LayerRange LOWER = new LayerRange(0, 4);
    private static final LayerRange UPPER = new LayerRange(4, 8);

    private final EngineStandIn mFirst;
    private final EngineStandIn mSecond;

    /** Starts both engines. */
    public EngineChain() {
        this(UnaryOperator.identity());
    }

    /**
     * Starts both engines.
     *
     * @param change changes the options of each
     */
    public EngineChain(UnaryOperator<EngineOptions> change) {
        EngineFabric fabric = new EngineFabric();
        mFirst = engine("first", LOWER, change, fabric);
        mSecond = engine("second", UPPER, change, fabric);
    }

    private static EngineStandIn engine(
            String name, LayerRange layers, UnaryOperator<EngineOptions> change, EngineFabric f) {
        UpstreamSpec.Holding holding = new UpstreamSpec.Holding(MODEL, layers, List.of());
        String upstream = id(ResourceKind.UPSTREAM, name).key();
        return new EngineStandIn(change.apply(EngineOptions.of(upstream, List.of(holding))), f);
    }

    /** Returns the first stage. */
    public EngineStandIn first() {
        return mFirst;
    }

    /** Returns the second stage. */
    public EngineStandIn second() {
        return mSecond;
    }

    /** Tells whether a request ran anywhere. */
    public boolean ran(String requestId) {
        return mFirst.ran(requestId) || mSecond.ran(requestId);
    }

    /** Returns the right answer. */
    public static List<String> answer() {
        List<String> answer = new ArrayList<>();
        for (int i = 0; i < TOKENS; i++) {
            answer.add(ExpectedText.token(MODEL.key(), "", PROMPT, i));
        }
        return answer;
    }

    /** Returns a call over both stages. */
    public static GenerateCall call(String requestId, int attempt, List<String> emitted) {
        Hop lower = new Hop(id(ResourceKind.UPSTREAM, "first"), LOWER, new KvSource.Compute());
        Hop upper = new Hop(id(ResourceKind.UPSTREAM, "second"), UPPER, new KvSource.Compute());
        return new GenerateCall(
                requestId,
                attempt,
                id(ResourceKind.WORKSPACE, "planner-division"),
                new Chain(MODEL, List.of(lower, upper)),
                Optional.empty(),
                PROMPT,
                emitted,
                TOKENS,
                5,
                Optional.of(Duration.ofSeconds(30)));
    }

    /** Returns the configuration with the present addresses. */
    public Configuration configuration() {
        return configuration(
                List.of(
                        upstream("first", UpstreamSpec.Role.ENGINE, mFirst.address()),
                        upstream("second", UpstreamSpec.Role.ENGINE, mSecond.address())));
    }

    /** Returns a configuration of upstreams alone. */
    public static Configuration configuration(List<UpstreamSpec> upstreams) {
        Manifest manifest =
                new Manifest(
                        List.of("kenanga"),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        upstreams,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
        return new Configuration(1, "00", manifest);
    }

    /** Returns an upstream at an address. */
    public static UpstreamSpec upstream(String name, UpstreamSpec.Role role, URI address) {
        return new UpstreamSpec(
                id(ResourceKind.UPSTREAM, name),
                role,
                DOMAIN,
                Optional.empty(),
                address,
                Optional.empty(),
                true,
                false,
                List.of());
    }

    /** Returns an identity of the fleet. */
    public static Identity id(ResourceKind kind, String name) {
        return new Identity("kenanga", kind, name);
    }

    @Override
    public void close() {
        mFirst.close();
        mSecond.close();
    }
}
