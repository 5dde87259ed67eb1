package org.amaranthpick.server.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;

/** Records what a stream tells. */
final class RecordingListener implements TokenListener {
    private static final int WAIT_SECONDS = 30;

    private final List<TokenFrame> mFrames = new ArrayList<>();
    private final CountDownLatch mEnded = new CountDownLatch(1);
    private final CountDownLatch mFirstToken = new CountDownLatch(1);
    private StreamEnd mEnd;
    private int mSending;
    private int mEnds;

    @Override
    public synchronized void onSending() {
        mSending++;
    }

    @Override
    public synchronized void onToken(TokenFrame frame) {
        mFrames.add(frame);
        mFirstToken.countDown();
    }

    @Override
    public synchronized void onEnd(StreamEnd end) {
        mEnd = end;
        mEnds++;
        mEnded.countDown();
    }

    StreamEnd await() throws InterruptedException {
        if (!mEnded.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the stream did not end; frames " + frames());
        }
        synchronized (this) {
            return mEnd;
        }
    }

    void awaitFirstToken() throws InterruptedException {
        if (!mFirstToken.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("no token came");
        }
    }

    synchronized List<TokenFrame> frames() {
        return List.copyOf(mFrames);
    }

    synchronized List<String> texts() {
        return mFrames.stream().map(TokenFrame::text).toList();
    }

    synchronized int sendingTold() {
        return mSending;
    }

    synchronized int endsTold() {
        return mEnds;
    }
}
