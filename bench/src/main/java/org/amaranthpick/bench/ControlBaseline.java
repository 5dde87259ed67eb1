package org.amaranthpick.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationRoot;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.config.LoadResult;
import org.amaranthpick.core.config.ManifestChunks;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberMessage;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.Heartbeat;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.peer.VirtualPeerNetwork;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.time.Scheduler;

/** Baseline: every daemon watches the store and pings every other daemon each second. */
final class ControlBaseline implements ControlDaemon, WatchListener {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Member mSelf;
    private final List<Member> mMembers;
    private final VirtualPeerNetwork.Endpoint mEndpoint;
    private final ConfigurationStore mConfiguration;
    private final ObjectStore mStore;
    private final Scheduler mScheduler;
    private Optional<ConfigurationRoot> mRoot = Optional.empty();
    private long mGeneration;
    private long mSequence;

    ControlBaseline(
            Member self,
            List<Member> members,
            VirtualPeerNetwork.Endpoint endpoint,
            ConfigurationStore configuration,
            ObjectStore store,
            Scheduler scheduler) {
        mSelf = self;
        mMembers = members;
        mEndpoint = endpoint;
        mConfiguration = configuration;
        mStore = store;
        mScheduler = scheduler;
    }

    void start(Duration delay) {
        mEndpoint.handle(
                MemberMessage.TAG_PING,
                (from, m) -> mEndpoint.send(from, new Ack(((Ping) m).sequence(), heartbeat())));
        mEndpoint.handle(MemberMessage.TAG_ACK, (from, message) -> {});
        mStore.watch(ConfigurationStore.ROOT_KEY, 0, this);
        mScheduler.schedule(delay, this::pingAll);
    }

    @Override
    public long generation() {
        return mGeneration;
    }

    @Override
    public VirtualPeerNetwork.Endpoint endpoint() {
        return mEndpoint;
    }

    @Override
    public String role() {
        return "baseline";
    }

    private void pingAll() {
        for (Member member : mMembers) {
            if (!member.host().equals(mSelf.host())) {
                mEndpoint.send(member.host(), new Ping(++mSequence, heartbeat()));
            }
        }
        mScheduler.schedule(PERIOD, this::pingAll);
    }

    private Heartbeat heartbeat() {
        return new Heartbeat(mGeneration, mGeneration, Updates.NONE);
    }

    @Override
    public void onWritten(StoredObject object) {
        ConfigurationRoot root = ConfigurationRoot.fromBytes(object.value());
        if (mRoot.isEmpty()) {
            mConfiguration.load().thenAccept(result -> onLoaded(root, result));
            return;
        }
        List<String> known = mRoot.get().chunks();
        mRoot = Optional.of(root);
        for (String digest : root.chunks()) {
            if (!known.contains(digest)) {
                mConfiguration.readChunk(digest).thenAccept(bytes -> onChunk(root, bytes));
            }
        }
    }

    private void onLoaded(ConfigurationRoot root, LoadResult result) {
        if (result instanceof LoadResult.Loaded loaded) {
            mRoot = Optional.of(root);
            mGeneration = loaded.configuration().generation();
        }
    }

    private void onChunk(ConfigurationRoot root, Optional<byte[]> bytes) {
        if (bytes.isPresent()) {
            Configuration part =
                    new Configuration(
                            root.generation(),
                            root.digest(),
                            ManifestChunks.join(List.of(bytes.get())));
            mGeneration = part.generation();
        }
    }

    @Override
    public void onDeleted(String key, long revision) {
        // Nothing is deleted in this run.
    }

    @Override
    public void onProgress(long revision) {
        // The watch is alive.
    }

    @Override
    public void onEnded(String reason) {
        // The store is not closed in this run.
    }
}
