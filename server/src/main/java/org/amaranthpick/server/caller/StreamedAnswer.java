package org.amaranthpick.server.caller;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RequestHandle;
import org.amaranthpick.server.http.ExchangeThread;

/**
 * Streams an answer as server-sent events. All writes run on the exchange's I/O thread, one at a
 * time; when a slow reader leaves too many tokens waiting, the request is paused.
 */
final class StreamedAnswer implements AnswerSink, IoCallback {
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpServerExchange mExchange;
    private final String mRequestId;
    private final AnswerFormat mFormat;
    private final int mMaxBufferedTokens;
    private final Queue<String> mWaiting = new ArrayDeque<>();
    private Optional<RequestHandle> mHandle = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();
    private boolean mPaused;
    private boolean mWriting;
    private boolean mStarted;
    private boolean mEnded;

    StreamedAnswer(
            HttpServerExchange exchange,
            String requestId,
            AnswerFormat format,
            int maxBufferedTokens) {
        mExchange = exchange;
        mRequestId = requestId;
        mFormat = format;
        mMaxBufferedTokens = maxBufferedTokens;
    }

    synchronized void attach(RequestHandle handle) {
        mHandle = Optional.of(handle);
        pauseIfFull();
    }

    @Override
    public synchronized void onToken(int index, String text) {
        mWaiting.add(text);
        pauseIfFull();
        writeSoon();
    }

    @Override
    public synchronized void onOutcome(Outcome outcome) {
        mOutcome = Optional.of(outcome);
        writeSoon();
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        write();
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
        Optional<RequestHandle> handle;
        synchronized (this) {
            mEnded = true;
            mWaiting.clear();
            handle = mHandle;
        }
        handle.ifPresent(RequestHandle::cancel);
        exchange.endExchange();
    }

    private void pauseIfFull() {
        if (!mPaused && mWaiting.size() >= mMaxBufferedTokens && mHandle.isPresent()) {
            mPaused = true;
            mHandle.get().pause();
        }
    }

    private void writeSoon() {
        if (!mWriting && !mEnded) {
            mWriting = true;
            ExchangeThread.of(mExchange).execute(this::write);
        }
    }

    /** Writes what waits. Runs on the I/O thread while {@code mWriting} is set. */
    private void write() {
        String text;
        boolean last;
        Optional<RequestHandle> resumed = Optional.empty();
        synchronized (this) {
            if (mEnded) {
                return;
            }
            if (refuseBeforeStart()) {
                return;
            }
            text = takeWaiting();
            if (mPaused) {
                mPaused = false;
                resumed = mHandle;
            }
            last = mOutcome.isPresent();
            mEnded = last;
            mWriting = last || !text.isEmpty();
        }
        resumed.ifPresent(RequestHandle::resume);
        send(text, last);
    }

    private boolean refuseBeforeStart() {
        if (mStarted || mOutcome.isEmpty() || !mWaiting.isEmpty()) {
            return false;
        }
        Outcome outcome = mOutcome.get();
        if (outcome instanceof Outcome.NotRun notRun) {
            mEnded = true;
            ResponseWriter.notRun(mExchange, mRequestId, notRun);
            return true;
        }
        if (outcome instanceof Outcome.Interrupted interrupted) {
            mEnded = true;
            ResponseWriter.interrupted(mExchange, mRequestId, interrupted);
            return true;
        }
        return false;
    }

    private String takeWaiting() {
        StringBuilder text = new StringBuilder();
        while (!mWaiting.isEmpty()) {
            text.append(mFormat.chunk(mWaiting.remove()));
        }
        mOutcome.ifPresent(outcome -> text.append(lastEvent(outcome)));
        return text.toString();
    }

    private String lastEvent(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return mFormat.lastChunk(answered);
        }
        if (outcome instanceof Outcome.Replayed replayed) {
            mExchange.getResponseHeaders().put(CallerHeaders.REPLAYED, "true");
            return mFormat.replayedChunks(replayed);
        }
        if (outcome instanceof Outcome.Interrupted interrupted) {
            return mFormat.errorEvent(ErrorBodies.interrupted(mRequestId, interrupted));
        }
        return mFormat.errorEvent(ErrorBodies.notRun(mRequestId, (Outcome.NotRun) outcome));
    }

    private void send(String text, boolean last) {
        if (text.isEmpty()) {
            return;
        }
        if (!mStarted) {
            mStarted = true;
            ResponseWriter.head(mExchange, mRequestId, "streamed", EVENT_STREAM);
            mExchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        }
        IoCallback then = last ? IoCallback.END_EXCHANGE : this;
        mExchange.getResponseSender().send(text, StandardCharsets.UTF_8, then);
    }
}
