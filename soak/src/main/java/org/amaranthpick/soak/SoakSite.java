package org.amaranthpick.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.amaranthpick.platform.standin.EngineStandIn;
import org.amaranthpick.platform.standin.ReceivedResponse;
import org.amaranthpick.platform.standin.StandInCaller;
import org.amaranthpick.platform.standin.StandInPlatform;

/** Stand-ins of the platform in this process, daemons as processes, and proxies between them. */
final class SoakSite implements AutoCloseable {
    static final int DAEMONS = 3;
    static final int ENGINES = 3;

    /** Time from the signal to stop to the end of a daemon. */
    static final int GRACE_S = 8;

    /** Loopback numbers are shared by the sites of one run of the program. */
    private static final int NUMBERS = 250;

    private static final Duration PATIENCE = Duration.ofSeconds(1);

    private final Map<String, LoopbackProxy> mProxies = new HashMap<>();
    private final List<LoopbackProxy> mLinks = new ArrayList<>();
    private final List<DaemonProcess> mDaemons = new ArrayList<>();
    private final Disturbances mDisturbances = new Disturbances();
    private final StandInPlatform mPlatform;
    private final ConfigurationWriter mConfiguration;

    /**
     * Starts the stand-ins and the daemons.
     *
     * @param seed seed, which also numbers the loopback addresses
     * @param directory directory for settings and logs
     * @param events events of a whole stream
     * @throws IOException if a file, a socket or a process cannot be made
     */
    SoakSite(long seed, Path directory, int events) throws IOException {
        mPlatform = new StandInPlatform(ENGINES, true, this::published);
        mConfiguration = new ConfigurationWriter(mPlatform.store());
        for (int i = 0; i < ENGINES; i++) {
            mPlatform.engine(i).setEventCount(events);
        }
        mLinks.addAll(mProxies.values());
        for (int i = 0; i < DAEMONS; i++) {
            LoopbackProxy store = new LoopbackProxy(mPlatform.store().address());
            mLinks.add(store);
            mDaemons.add(daemon(seed, i, store, directory));
        }
        for (DaemonProcess daemon : mDaemons) {
            daemon.start();
        }
    }

    private String published(String address) {
        return mProxies.computeIfAbsent(
                        address,
                        target -> {
                            try {
                                return new LoopbackProxy(target);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        })
                .address();
    }

    private static DaemonProcess daemon(long seed, int index, LoopbackProxy store, Path directory)
            throws IOException {
        String ip =
                String.format(
                        Locale.ROOT,
                        "127.%d.%d.%d",
                        1 + seed / NUMBERS % NUMBERS,
                        1 + seed % NUMBERS,
                        index + 1);
        String callers = ip + ":" + freePort(ip);
        String readiness = ip + ":" + freePort(ip);
        String settings =
                String.format(
                        Locale.ROOT,
                        "{\"node\":\"host-%d\",\"zone\":\"z\",\"ip\":\"%s\",\"listen\":{\"front\":\"%s\","
                                + "\"ready\":\"%s\"},\"platform\":{\"address\":\"%s\"},\"bounds\":"
                                + "{\"graceS\":%d,\"retryBudgetRatio\":0.2,\"retryBudgetExtra\":400,"
                                + "\"budgetWindowS\":10}}",
                        index,
                        ip,
                        callers,
                        readiness,
                        store.address(),
                        GRACE_S);
        Path file = Files.createDirectories(directory).resolve("host-" + index + ".json");
        Files.writeString(file, settings);
        return new DaemonProcess(
                file.toAbsolutePath(),
                directory.resolve("host-" + index + ".log").toAbsolutePath(),
                URI.create("http://" + callers),
                URI.create("http://" + readiness));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    List<DaemonProcess> daemons() {
        return mDaemons;
    }

    DaemonProcess daemon(int target) {
        return mDaemons.get(target % DAEMONS);
    }

    LoopbackProxy link(int target) {
        return mLinks.get(target % mLinks.size());
    }

    /** Returns the proxy in front of an upstream. */
    LoopbackProxy linkOf(EngineStandIn upstream) {
        return mProxies.get(upstream.address());
    }

    Disturbances disturbances() {
        return mDisturbances;
    }

    ConfigurationWriter configuration() {
        return mConfiguration;
    }

    StandInPlatform platform() {
        return mPlatform;
    }

    boolean ready(DaemonProcess daemon) {
        try (StandInCaller caller = new StandInCaller(daemon.readiness(), PATIENCE)) {
            return caller.send("GET", "/ready", "ready", "", PATIENCE).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean serves(DaemonProcess daemon, String id) {
        try (StandInCaller caller = new StandInCaller(daemon.callers(), PATIENCE)) {
            ReceivedResponse answer = caller.send("GET", "/get/x", id, "key-1", PATIENCE);
            return answer.isSuccess() && answer.complete();
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends all harm to links and stand-ins. */
    void heal() {
        mLinks.forEach(link -> link.harm(LinkHarm.NONE));
        mPlatform.service().setFault(EngineStandIn.Fault.NONE);
        for (int i = 0; i < ENGINES; i++) {
            mPlatform.engine(i).setFault(EngineStandIn.Fault.NONE);
            mPlatform.registerEngine(i, "ready", StandInPlatform.LAYERS);
        }
    }

    /** Counts how often each request ran at any upstream. */
    Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        mPlatform.service().executedRequestIds().forEach(id -> runs.merge(id, 1, Integer::sum));
        for (int i = 0; i < ENGINES; i++) {
            mPlatform.engine(i).executedRequestIds().forEach(id -> runs.merge(id, 1, Integer::sum));
        }
        return runs;
    }

    @Override
    public void close() throws IOException {
        mDaemons.forEach(DaemonProcess::close);
        for (LoopbackProxy link : mLinks) {
            link.close();
        }
        mPlatform.close();
    }
}
