package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.store.StoreFollower;
import org.amaranthpick.core.store.StoredObject;

/** Keeps the newest configuration in the store; never replaces it by an older version. */
final class ConfigurationFollower implements StoreFollower.Sink {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final GatewayDecoder mDecoder;
    private final GatewayMetrics mMetrics;
    private final PlannedWork mPlanned;
    private Optional<GatewayConfiguration> mCurrent = Optional.empty();

    ConfigurationFollower(GatewayDecoder decoder, GatewayMetrics metrics, PlannedWork planned) {
        mDecoder = decoder;
        mMetrics = metrics;
        mPlanned = planned;
    }

    Optional<GatewayConfiguration> current() {
        return mCurrent;
    }

    @Override
    public void onList(List<StoredObject> objects) {
        objects.forEach(this::onWritten);
    }

    @Override
    public void onWritten(StoredObject object) {
        Optional<GatewayConfiguration> next = mDecoder.decodeConfiguration(object.value());
        long currentVersion = mCurrent.map(GatewayConfiguration::version).orElse(-1L);
        if (next.isPresent() && next.get().version() > currentVersion) {
            mCurrent = next;
            mMetrics.onConfigurationVersion(next.get().version());
            mPlanned.onConfiguration(next.get().version());
            sLogger.atInfo().log(
                    "config: in force version=%d before=%d routes=%d services=%d revision=%d",
                    next.get().version(),
                    currentVersion,
                    next.get().routeCount(),
                    next.get().services().size(),
                    object.version());
        }
    }

    @Override
    public void onDeleted(String key) {
        sLogger.atWarning().log("config: object %s was deleted; keeping the current version", key);
    }
}
