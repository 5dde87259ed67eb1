package org.amaranthpick.server.gateway;

import com.fasterxml.jackson.core.type.TypeReference;
import io.undertow.server.handlers.PathHandler;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
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
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.xnio.XnioWorker;

/** Observes how full the engines are, together with the other daemons. */
final class RoomObservation implements AutoCloseable {
    private static final String PATH = "/engine-loads";

    /**
     * Queries reuse their connections, as each engine is queried every second. The report of
     * another moment does no harm, unlike the response to another request.
     */
    private static final ConnectorSettings QUERY_CONNECTIONS =
            new ConnectorSettings(1, 1, Duration.ofMillis(300), Duration.ofSeconds(4));

    private final ReportedRoom mRoom = new ReportedRoom();
    private final PeerMessageLink<RoomNews> mLink;
    private final RoomObserver mObserver;
    private final GatewayMetrics mMetrics;
    private final HttpConnector mQueries;

    /**
     * Creates the observation of a daemon.
     *
     * @param settings settings of the daemon
     * @param worker gives the I/O thread
     * @param scheduler scheduler on that thread
     * @param peers connections to the other daemons
     * @param daemons other daemons
     * @param metrics counts messages and loaded engines
     * @param random source of the paths of news
     * @param engines returns the registered engines
     * @param control creates the control of the engines, given what sends its queries
     */
    RoomObservation(
            GatewaySettings settings,
            XnioWorker worker,
            IoThreadScheduler scheduler,
            HttpConnector peers,
            DaemonCounter daemons,
            GatewayMetrics metrics,
            RandomGenerator random,
            Supplier<List<UpstreamEntry>> engines,
            Function<UpstreamSender, EngineControl> control) {
        mQueries = new HttpConnector(worker, scheduler, QUERY_CONNECTIONS);
        mMetrics = metrics;
        mLink = new PeerMessageLink<>(peers, PATH, new TypeReference<>() {});
        mObserver =
                new RoomObserver(
                        new RoomObserver.Member(
                                settings.peerAddress().map(URI::getAuthority).orElse(""),
                                settings.domain(),
                                daemons::daemons,
                                random),
                        engines,
                        control.apply((engine, query, reply) -> mQueries.send(query, reply)),
                        mRoom,
                        this::send,
                        scheduler,
                        scheduler);
        mLink.setReceiver(
                news -> {
                    metrics.onLoadsReceived();
                    mObserver.onNews(news);
                });
    }

    private void send(String peer, RoomNews news) {
        mMetrics.onLoadsSent();
        mLink.send(peer, news);
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
        mMetrics.setLoadedEngines(mRoom.loadedEngines());
    }

    void addTo(PathHandler messages) {
        messages.addExactPath(mLink.path(), mLink);
    }

    @Override
    public void close() {
        mQueries.close();
    }
}
