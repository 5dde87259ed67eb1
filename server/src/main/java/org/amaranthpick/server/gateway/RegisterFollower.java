package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.store.StoreFollower;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.time.Scheduler;

/** Updates the register of upstreams from the store. */
final class RegisterFollower implements StoreFollower.Sink {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final GatewayDecoder mDecoder;
    private final UpstreamRegister mRegister;
    private final Scheduler mScheduler;
    private final Runnable mOnStoreRestored;
    private boolean mListed;

    /**
     * Creates a follower.
     *
     * @param decoder decodes the entries
     * @param register updated by the follower
     * @param scheduler clock
     * @param onStoreRestored notified when the store came back from a copy
     */
    RegisterFollower(
            GatewayDecoder decoder,
            UpstreamRegister register,
            Scheduler scheduler,
            Runnable onStoreRestored) {
        mOnStoreRestored = onStoreRestored;
        mDecoder = decoder;
        mRegister = register;
        mScheduler = scheduler;
    }

    /** Returns whether the register has been listed at least once. */
    boolean isListed() {
        return mListed;
    }

    @Override
    public void onList(List<StoredObject> objects) {
        List<UpstreamEntry> entries = new ArrayList<>();
        objects.forEach(object -> decode(object).ifPresent(entries::add));
        mRegister.replaceAll(entries, mScheduler.monotonicNs());
        mListed = true;
        sLogger.atInfo().log(
                "register: listed entries=%d readable=%d", objects.size(), entries.size());
    }

    @Override
    public void onWritten(StoredObject object) {
        Optional<UpstreamEntry> entry = decode(object);
        if (entry.isEmpty()) {
            mRegister.remove(idOf(object.key()), mScheduler.monotonicNs());
        } else {
            UpstreamEntry upstream = entry.get();
            sLogger.atInfo().log(
                    "register: upstream=%s address=%s leaving=%s layers=%s revision=%d",
                    upstream.id(),
                    upstream.address(),
                    upstream.leaving(),
                    upstream.layers().map(Object::toString).orElse("none"),
                    object.version());
            mRegister.put(upstream);
        }
    }

    @Override
    public void onDeleted(String key) {
        sLogger.atInfo().log("register: upstream=%s gone", idOf(key));
        mRegister.remove(idOf(key), mScheduler.monotonicNs());
    }

    @Override
    public void onStoreAvailable() {
        mRegister.onStoreRecovered(mScheduler.monotonicNs());
    }

    @Override
    public void onStoreRestored() {
        mRegister.onStoreRestored(mScheduler.monotonicNs());
        mOnStoreRestored.run();
    }

    private Optional<UpstreamEntry> decode(StoredObject object) {
        return mDecoder.decodeUpstream(idOf(object.key()), object.value());
    }

    private String idOf(String key) {
        return key.substring(mDecoder.registerPrefix().length());
    }
}
