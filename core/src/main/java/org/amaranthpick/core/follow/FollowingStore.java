package org.amaranthpick.core.follow;

import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;

/**
 * Store whose watches go through other daemons where the failure domain has many. All other calls
 * go to the store.
 */
public final class FollowingStore implements ObjectStore {
    private final FollowContext mContext;

    /**
     * Creates the store.
     *
     * @param context what the watches work with
     */
    public FollowingStore(FollowContext context) {
        mContext = context;
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return mContext.store().read(key);
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        return mContext.store().write(key, condition, value, writer);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        return mContext.store().delete(key, version);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return mContext.store()
                .list(prefix)
                .thenApply(
                        result -> {
                            if (result instanceof ListResult.Listed listed) {
                                mContext.changes()
                                        .history(prefix)
                                        .onList(listed.objects(), listed.revision());
                            } else {
                                mContext.changes().onLost(prefix);
                            }
                            return result;
                        });
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        FollowedWatch watch = new FollowedWatch(mContext, prefix, afterRevision, listener);
        watch.start();
        return watch;
    }

    @Override
    public long era() {
        return mContext.store().era();
    }

    @Override
    public void replaceIdleConnections() {
        mContext.store().replaceIdleConnections();
    }

    @Override
    public void close() {
        mContext.store().close();
    }
}
