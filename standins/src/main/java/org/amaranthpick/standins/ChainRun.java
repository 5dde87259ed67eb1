package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.amaranthpick.core.manifest.LayerRange;

/** One generate call as its first stage serves it. */
final class ChainRun {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_ERROR = 500;
    private static final String WRONG_MODEL = "wrong/model-version/wrong";

    private final EngineStandIn mFirst;
    private final EngineFaults mFaults;
    private final GenerateBody mBody;
    private final HttpServerExchange mExchange;
    private final BooleanSupplier mSilent;
    private OutputStream mOut;

    /** A stage that cannot be reached any more. */
    private static final class StageLostException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String mUpstream;

        StageLostException(String upstream) {
            super("it does not answer");
            mUpstream = upstream;
        }
    }

    ChainRun(
            EngineStandIn first,
            GenerateBody body,
            HttpServerExchange exchange,
            BooleanSupplier silent) {
        mFirst = first;
        mFaults = first.faults();
        mBody = body;
        mExchange = exchange;
        mSilent = silent;
    }

    void serve() throws IOException {
        if (mFaults.mServerError) {
            mExchange.setStatusCode(STATUS_ERROR);
            return;
        }
        if (refuse()) {
            return;
        }
        prepareKv();
        if (mFaults.mRunThenDrop) {
            runFirstToken();
            mExchange.getConnection().close();
            return;
        }
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        mOut = mExchange.getOutputStream();
        if (mFaults.mGarbage) {
            mOut.write("garbage\n".getBytes(StandardCharsets.UTF_8));
            mOut.flush();
        }
        stream();
    }

    /** Asks every stage before any layer runs, so that a refusal is true for the whole chain. */
    private boolean refuse() throws IOException {
        for (GenerateBody.Stage stage : mBody.hops()) {
            Optional<EngineStandIn> engine = engine(stage);
            Optional<String> reason =
                    engine.isEmpty()
                            ? Optional.of("it does not answer")
                            : engine.get().refusal(mBody, stage);
            if (reason.isPresent()) {
                Replies.refused(mExchange, stage.upstream(), reason.get());
                return true;
            }
        }
        return false;
    }

    private Optional<EngineStandIn> engine(GenerateBody.Stage stage) {
        return stage.upstream().equals(mFirst.upstream())
                ? Optional.of(mFirst)
                : mFirst.fabric().at(stage.url()).filter(EngineStandIn::isAlive);
    }

    private void prepareKv() {
        int tokens = mBody.promptTokens() + mBody.emitted().size();
        for (GenerateBody.Stage stage : mBody.hops()) {
            Optional<KvCache> from =
                    mFirst.fabric()
                            .at(stage.kvFromUrl())
                            .filter(EngineStandIn::isAlive)
                            .map(EngineStandIn::kv);
            engine(stage).ifPresent(e -> e.kv().prepare(mBody.requestId(), stage, tokens, from));
        }
    }

    private void runFirstToken() throws IOException {
        try {
            runToken(mBody.emitted().size(), 0);
        } catch (StageLostException e) {
            mExchange.setStatusCode(STATUS_ERROR);
        }
    }

    private void stream() throws IOException {
        int sent = 0;
        try {
            for (int index = mBody.emitted().size(); index < mBody.maxTokens(); index++) {
                if (isOver(sent)) {
                    return;
                }
                List<LayerRange> trace = runToken(index, sent);
                if (!mFirst.isAlive()) {
                    return;
                }
                send(index, trace);
                sent++;
            }
            if (!isOver(sent) && !mFaults.mTruncate) {
                write(object("finished").put("reason", "length").put("tokens", mBody.maxTokens()));
            }
        } catch (StageLostException e) {
            write(object("stage_lost").put("upstream", e.mUpstream).put("reason", e.getMessage()));
        }
    }

    /** Applies the faults that cut a stream off after some tokens. */
    private boolean isOver(int sent) throws IOException {
        if (mFirst.isCancelled(mBody)) {
            return true;
        }
        if (sent == mFaults.mDropAfterTokens) {
            mExchange.getConnection().close();
            return true;
        }
        if (sent == mFaults.mSilentAfterTokens || mSilent.getAsBoolean()) {
            Silence.keepOpen(mExchange);
            return true;
        }
        return false;
    }

    private List<LayerRange> runToken(int index, int sent) throws StageLostException, IOException {
        List<LayerRange> trace = new ArrayList<>();
        for (int i = 0; i < mBody.hops().size(); i++) {
            GenerateBody.Stage stage = mBody.hops().get(i);
            boolean dropped = i > 0 && sent == mFaults.mLoseNextAfterTokens;
            EngineStandIn engine =
                    engine(stage)
                            .filter(e -> !dropped)
                            .orElseThrow(() -> new StageLostException(stage.upstream()));
            pause(engine);
            int times = engine.faults().mRunLayersTwice ? 2 : 1;
            for (int t = 0; t < times; t++) {
                engine.run(mBody, index, stage.layers());
                trace.add(stage.layers());
            }
        }
        return trace;
    }

    /** Waits for the stage, with keep-alive lines in between. */
    private void pause(EngineStandIn engine) throws IOException {
        long leftMs = engine.options().tokenDelay().plus(engine.faults().mSlow).toMillis();
        long stepMs = engine.options().keepAlive().toMillis();
        while (leftMs > 0) {
            sleep(Math.min(leftMs, stepMs));
            leftMs -= stepMs;
            if (leftMs > 0 && mOut != null) {
                write(object("alive"));
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(int index, List<LayerRange> trace) throws IOException {
        if (mFaults.mLateFrames) {
            write(token(index, trace, Math.max(0, mBody.attempt() - 1)));
        }
        write(token(index, trace, mBody.attempt()));
        if (mFaults.mDuplicate) {
            write(token(index, trace, mBody.attempt()));
        }
    }

    private ObjectNode token(int index, List<LayerRange> trace, int attempt) {
        String model = mFaults.mWrongVersion ? WRONG_MODEL : mBody.model();
        String text = ExpectedText.token(model, mBody.adapter(), mBody.prompt(), index);
        ObjectNode json = object("token");
        json.put("request", mBody.requestId());
        json.put("attempt", attempt);
        json.put("index", index);
        json.put("text", text);
        ArrayNode ranges = json.putArray("trace");
        trace.forEach(range -> ranges.addArray().add(range.from()).add(range.to()));
        return json;
    }

    private static ObjectNode object(String type) {
        return MAPPER.createObjectNode().put("type", type);
    }

    private void write(ObjectNode json) throws IOException {
        mOut.write((json + "\n").getBytes(StandardCharsets.UTF_8));
        mOut.flush();
    }
}
