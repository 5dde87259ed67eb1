package org.amaranthpick.standins.fleet;

/** Work of one stream at one engine: tokens to read, or a step to write. */
final class PassWork {
    private final EmulatedStream mStream;
    private final int mLayers;
    private final Runnable mThen;
    private int mReadTokens;

    PassWork(EmulatedStream stream, int layers, int readTokens, Runnable then) {
        mStream = stream;
        mLayers = layers;
        mReadTokens = readTokens;
        mThen = then;
    }

    EmulatedStream stream() {
        return mStream;
    }

    int layers() {
        return mLayers;
    }

    boolean reads() {
        return mReadTokens > 0;
    }

    /** Takes up to a number of the tokens that wait to be read. */
    int takeRead(int most) {
        int taken = Math.min(most, mReadTokens);
        mReadTokens -= taken;
        return taken;
    }

    void done() {
        mThen.run();
    }
}
