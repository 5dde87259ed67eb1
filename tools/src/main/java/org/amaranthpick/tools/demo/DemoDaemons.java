package org.amaranthpick.tools.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthpick.server.daemon.Daemon;
import org.amaranthpick.server.daemon.SettingsException;
import org.amaranthpick.server.daemon.SettingsReader;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.ExitCode;

/** Daemons of the demo, all in this process, spread over both fleets' hosts. */
public final class DemoDaemons implements AutoCloseable {
    /** Credential of operators. */
    public static final String OPERATOR_TOKEN = "demo-operator-token";

    private final URI mStore;
    private final List<Ports> mPorts = new ArrayList<>();
    private final List<Daemon> mDaemons = new CopyOnWriteArrayList<>();

    /** Ports of one daemon, kept over its restarts. */
    private record Ports(int callers, int operators, int peers) {}

    /**
     * Starts daemons.
     *
     * @param store address of the store
     * @param count number of daemons
     */
    public DemoDaemons(URI store, int count) {
        mStore = store;
        for (int i = 0; i < count; i++) {
            mPorts.add(new Ports(freePort(), freePort(), freePort()));
        }
        for (int i = 0; i < count; i++) {
            mDaemons.add(start(i));
        }
    }

    /**
     * Stops a daemon at once, with whatever it has in progress, and starts it again.
     *
     * @param index number of the daemon, from 0
     */
    public void restart(int index) {
        mDaemons.get(index).close();
        mDaemons.set(index, start(index));
    }

    /**
     * Returns the daemons.
     *
     * @return daemons, the first one first
     */
    public List<Daemon> all() {
        return mDaemons;
    }

    /**
     * Returns where a daemon takes callers.
     *
     * @param index number of the daemon, from 0
     * @return address
     */
    public URI callers(int index) {
        return address(mPorts.get(index).callers());
    }

    /**
     * Returns where a daemon takes operators.
     *
     * @param index number of the daemon, from 0
     * @return address
     */
    public URI operators(int index) {
        return address(mPorts.get(index).operators());
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
    }

    private Daemon start(int index) {
        Ports ports = mPorts.get(index);
        Map<String, String> flags = new HashMap<>();
        flags.put("fleet", fleet(index));
        flags.put("host-name", "entry-" + (index + 1));
        flags.put("domain", "zone-a");
        flags.put("region", fleet(index) + "-region");
        flags.put("caller-address", "127.0.0.1:" + ports.callers());
        flags.put("operator-address", "127.0.0.1:" + ports.operators());
        flags.put("peer-address", "127.0.0.1:" + ports.peers());
        flags.put("store-address", mStore.toString());
        flags.put("peer-key", "demo-peer-key-of-at-least-32-bytes");
        flags.put("operator-token", OPERATOR_TOKEN);
        flags.put("seeds", seeds());
        flags.put("balancer-lag", "PT0.5S");
        flags.put("io-threads", "2");
        try {
            return Daemon.start(new SettingsReader(flags, Map.of()).read());
        } catch (SettingsException | IOException e) {
            throw new CommandException(ExitCode.USAGE, "a daemon cannot start: " + e.getMessage());
        }
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < mPorts.size(); i++) {
            String fleet = fleet(i);
            String host = fleet + "/entry-" + (i + 1);
            String place = fleet + "/zone-a@" + fleet + "-region";
            seeds.add(host + "@127.0.0.1:" + mPorts.get(i).peers() + "@" + place);
        }
        return String.join(",", seeds);
    }

    private static String fleet(int index) {
        return index % 2 == 0 ? "kenanga" : "viseu";
    }

    private static URI address(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "no port is free: " + e.getMessage());
        }
    }
}
