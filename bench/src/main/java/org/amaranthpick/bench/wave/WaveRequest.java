package org.amaranthpick.bench.wave;

import java.util.List;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;

/** One request of the trace and its way through the engines. */
final class WaveRequest {
    final String mId;
    final WorkspaceSpec mWorkspace;
    final int mPriority;
    final int mPromptTokens;
    final int mTokens;
    final List<Long> mPrefixHashes;
    final long mArrivedNs;
    Chain mChain;
    Permit mPermit;
    long mSentNs;
    long mLastTokenNs;
    long mToldNs;
    int mHop;
    int mDone;
    int mPrefillLeft;

    WaveRequest(
            String id,
            WorkspaceSpec workspace,
            int priority,
            int promptTokens,
            int tokens,
            List<Long> prefixHashes,
            long arrivedNs) {
        mId = id;
        mWorkspace = workspace;
        mPriority = priority;
        mPromptTokens = promptTokens;
        mTokens = tokens;
        mPrefixHashes = prefixHashes;
        mArrivedNs = arrivedNs;
    }

    Hop hop() {
        return mChain.hops().get(mHop);
    }

    boolean isPrefill() {
        return mDone == 0;
    }
}
