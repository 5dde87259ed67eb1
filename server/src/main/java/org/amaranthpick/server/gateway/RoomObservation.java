package org.amaranthpick.server.gateway;

import com.fasterxml.jackson.core.type.TypeReference;
import io.undertow.server.handlers.PathHandler;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.register.DaemonCounter;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.room.ReportedRoom;
import org.amaranthpick.core.room.RoomNews;
import org.amaranthpick.core.room.RoomObserver;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;

/** Observes how full the engines are, together with the other daemons. */
final class RoomObservation {
    private static final String PATH = "/engine-loads";

    private final ReportedRoom mRoom = new ReportedRoom();
    private final PeerMessageLink<RoomNews> mLink;
    private final RoomObserver mObserver;

    /**
     * Creates the observation of a daemon.
     *
     * @param settings settings of the daemon
     * @param peers connections to the other daemons
     * @param daemons other daemons
     * @param engines returns the registered engines
     * @param control queries engines
     * @param scheduler scheduler on the I/O thread
     * @param random source of the paths of news
     */
    RoomObservation(
            GatewaySettings settings,
            HttpConnector peers,
            DaemonCounter daemons,
            Supplier<List<UpstreamEntry>> engines,
            EngineControl control,
            IoThreadScheduler scheduler,
            RandomGenerator random) {
        mLink = new PeerMessageLink<>(peers, PATH, new TypeReference<>() {});
        mObserver =
                new RoomObserver(
                        new RoomObserver.Member(
                                settings.peerAddress().map(URI::getAuthority).orElse(""),
                                settings.domain(),
                                daemons::daemons,
                                random),
                        engines,
                        control,
                        mRoom,
                        mLink::send,
                        scheduler,
                        scheduler);
        mLink.setReceiver(mObserver::onNews);
    }

    /** Returns the engines of all models of a configuration. */
    static List<UpstreamEntry> modelEngines(
            Optional<GatewayConfiguration> configuration, UpstreamRegister register) {
        return configuration.stream()
                .flatMap(current -> current.services().values().stream())
                .filter(service -> service.model().isPresent())
                .flatMap(service -> register.findByService(service.name()).stream())
                .toList();
    }

    ReportedRoom room() {
        return mRoom;
    }

    /** Queries the engines that are due. Called several times a second. */
    void step() {
        mObserver.step();
    }

    void addTo(PathHandler messages) {
        messages.addExactPath(mLink.path(), mLink);
    }
}
