package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * Engine stand-in: holds layer ranges, runs chains together with the other engines of its fabric,
 * and records every layer that it really ran. Listens on 127.0.0.1.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_FORBIDDEN = 403;
    private static final int STATUS_NOT_FOUND = 404;

    private final EngineOptions mOptions;
    private final EngineFabric mFabric;
    private final EngineFaults mFaults = new EngineFaults();
    private final EngineState mState;
    private final KvCache mKv = new KvCache();
    private final CacheEvents mCacheEvents;
    private final StandInServer mServer = new StandInServer(this::handle);
    private final List<LayerRun> mRuns = Collections.synchronizedList(new ArrayList<>());
    private final AtomicLong mLayerTokens = new AtomicLong();
    private final AtomicInteger mStreams = new AtomicInteger();
    private final AtomicLong mQueuedTokens = new AtomicLong();
    private final AtomicLong mBoots = new AtomicLong();
    private final Set<String> mCancelled = ConcurrentHashMap.newKeySet();
    private volatile boolean mAlive;
    private volatile boolean mLeaving;
    private volatile String mOrderToken = "";

    /**
     * Starts an engine.
     *
     * @param options what it is
     * @param fabric links to the other engines
     */
    public EngineStandIn(EngineOptions options, EngineFabric fabric) {
        mOptions = options;
        mFabric = fabric;
        mState = new EngineState(options);
        mCacheEvents = new CacheEvents(mFaults);
        revive();
    }

    /**
     * Returns the base address.
     *
     * @return address by IP number
     */
    public URI address() {
        return mServer.address();
    }

    /**
     * Returns the key of the upstream.
     *
     * @return {@code fleet/upstream/name}
     */
    public String upstream() {
        return mOptions.upstream();
    }

    /**
     * Returns the faults, to be changed at any time.
     *
     * @return live faults
     */
    public EngineFaults faults() {
        return mFaults;
    }

    /**
     * Returns every layer run recorded.
     *
     * @return runs in order of time
     */
    public List<LayerRun> runs() {
        synchronized (mRuns) {
            return List.copyOf(mRuns);
        }
    }

    /**
     * Tells whether a request ran here in any attempt.
     *
     * @param requestId id of the request
     * @return true if one layer or more ran
     */
    public boolean ran(String requestId) {
        return runs().stream().anyMatch(run -> run.requestId().equals(requestId));
    }

    /**
     * Counts the layers run over all tokens.
     *
     * @return layers times tokens
     */
    public long layerTokens() {
        return mLayerTokens.get();
    }

    /**
     * Counts the prompt and answer tokens whose KV cache was kept from an earlier attempt.
     *
     * @return tokens
     */
    public long kvKept() {
        return mKv.kept();
    }

    /**
     * Counts the tokens whose KV cache was imported.
     *
     * @return tokens
     */
    public long kvImported() {
        return mKv.imported();
    }

    /**
     * Counts the tokens whose KV cache was computed.
     *
     * @return tokens
     */
    public long kvComputed() {
        return mKv.computed();
    }

    /**
     * Returns the orders taken, refused ones left out.
     *
     * @return {@code orderer fence/sequence} in order of time
     */
    public List<String> orders() {
        return mState.orders();
    }

    /**
     * Returns what it holds now.
     *
     * @return holdings
     */
    public List<UpstreamSpec.Holding> holdings() {
        return mState.holdings();
    }

    /**
     * Tells whether a cancel call came for a request.
     *
     * @param requestId id of the request
     * @param attempt attempt number
     * @return true if it was cancelled here
     */
    public boolean isCancelled(String requestId, int attempt) {
        return mCancelled.contains(requestId + "#" + attempt);
    }

    /**
     * Counts the streams running with this engine as their first stage.
     *
     * @return number of streams
     */
    public int streams() {
        return mStreams.get();
    }

    /**
     * Counts the open connections that carried a call.
     *
     * @return number of connections
     */
    public int connections() {
        return mServer.connections();
    }

    /** Dies: stops listening, closes every connection, loses its KV cache. */
    public void die() {
        mAlive = false;
        mServer.die();
        mKv.clear();
    }

    /** Starts again after {@link #die()} at the same address, with a new boot id. */
    public void revive() {
        mBoots.incrementAndGet();
        mState.restart();
        mServer.start();
        mCacheEvents.restart(bootId());
        mAlive = true;
        mFabric.join(this);
    }

    /** Closes every open connection; new ones work. */
    public void closeConnections() {
        mServer.closeConnections();
    }

    /** Makes every open connection silent for good; new ones work. */
    public void silenceConnections() {
        mServer.silenceConnections();
    }

    /**
     * Sets whether it takes new work.
     *
     * @param leaving true to refuse new work
     */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /**
     * Makes the engine check who gives orders.
     *
     * @param token bearer token that orders must carry, empty to take all
     */
    public void requireOrderToken(String token) {
        mOrderToken = token;
    }

    /**
     * Tells a cache event.
     *
     * @param stored true if the blocks were stored, false if evicted
     * @param blocks prefix hashes
     */
    public void tellCacheEvent(boolean stored, List<Long> blocks) {
        mCacheEvents.add(stored, blocks);
    }

    @Override
    public void close() {
        die();
    }

    EngineOptions options() {
        return mOptions;
    }

    EngineFabric fabric() {
        return mFabric;
    }

    KvCache kv() {
        return mKv;
    }

    boolean isAlive() {
        return mAlive;
    }

    boolean isCancelled(GenerateBody body) {
        return isCancelled(body.requestId(), body.attempt());
    }

    /** Says why a stage cannot run here; empty if it can. */
    Optional<String> refusal(GenerateBody body, GenerateBody.Stage stage) {
        if (mFaults.mRefuse) {
            return Optional.of("it refuses");
        }
        if (mLeaving) {
            return Optional.of("it is leaving");
        }
        if (!stage.upstream().equals(mOptions.upstream())) {
            return Optional.of("the call is for " + stage.upstream());
        }
        boolean holds = mState.holds(body.model(), stage.layers(), body.adapter());
        return holds
                ? Optional.empty()
                : Optional.of("it does not hold layers " + stage.layers() + " of " + body.model());
    }

    /** Runs the layers of one stage for one token. */
    void run(GenerateBody body, int index, LayerRange layers) {
        mLayerTokens.addAndGet(layers.size());
        if (mOptions.recordRuns()) {
            mRuns.add(new LayerRun(body.requestId(), body.attempt(), index, layers));
        }
        mKv.append(body.requestId(), layers);
    }

    void queued(long tokens) {
        mQueuedTokens.addAndGet(tokens);
    }

    private String bootId() {
        return mOptions.upstream() + "#" + mBoots.get();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (mServer.isSilent(exchange) || mFaults.mSilent) {
            Silence.keepOpen(exchange);
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/v1/generate" -> generate(exchange);
            case "/v1/cancel" -> cancel(exchange);
            case "/v1/status" -> Replies.json(exchange, status());
            case "/v1/orders" -> order(exchange);
            case "/v1/cache-events" -> mCacheEvents.serve(exchange);
            default -> exchange.setStatusCode(STATUS_NOT_FOUND);
        }
    }

    private void generate(HttpServerExchange exchange) throws IOException {
        if (mFaults.mDropUnrun) {
            exchange.getConnection().close();
            return;
        }
        GenerateBody body = GenerateBody.read(exchange.getInputStream());
        if (mStreams.incrementAndGet() > mOptions.maxStreams()) {
            mStreams.decrementAndGet();
            Replies.refused(exchange, mOptions.upstream(), "it runs too many streams");
            return;
        }
        try {
            new ChainRun(this, body, exchange, () -> mServer.isSilent(exchange)).serve();
        } finally {
            mStreams.decrementAndGet();
        }
    }

    private void cancel(HttpServerExchange exchange) throws IOException {
        JsonNode json = MAPPER.readTree(exchange.getInputStream());
        mCancelled.add(json.path("request").asText() + "#" + json.path("attempt").asInt());
        exchange.setStatusCode(STATUS_ACCEPTED);
    }

    private void order(HttpServerExchange exchange) throws IOException {
        String token = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (!mOrderToken.isEmpty() && !("Bearer " + mOrderToken).equals(token)) {
            exchange.setStatusCode(STATUS_FORBIDDEN);
            Replies.json(
                    exchange,
                    MAPPER.createObjectNode()
                            .put("type", "refused")
                            .put("reason", "the orderer is not known"));
            return;
        }
        Optional<ObjectNode> refusal = mState.take(MAPPER.readTree(exchange.getInputStream()));
        exchange.setStatusCode(refusal.isPresent() ? STATUS_CONFLICT : STATUS_ACCEPTED);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream()
                .write(MAPPER.writeValueAsBytes(refusal.orElseGet(MAPPER::createObjectNode)));
    }

    private ObjectNode status() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("boot_id", bootId());
        json.put("sampled_at_ms", System.currentTimeMillis());
        json.put("leaving", mLeaving);
        json.set("holdings", mState.holdingsJson());
        int reported = mFaults.mReportedStreams;
        json.put("running_streams", reported < 0 ? mStreams.get() : reported);
        json.put("queued_tokens", mQueuedTokens.get());
        json.put("free_memory_bytes", mOptions.memoryBytes());
        if (mOptions.honoursFencing() && mState.fence() >= 0) {
            json.put("fence", mState.fence());
        }
        json.put("event_sequence", mCacheEvents.lastSequence());
        return json;
    }
}
