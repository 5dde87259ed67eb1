package org.amaranthpick.tools.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.server.daemon.Daemon;
import org.amaranthpick.server.daemon.SettingsException;
import org.amaranthpick.server.daemon.SettingsReader;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.ExitCode;

/** Daemons of the demo, all in this process, spread over both fleets' hosts. */
public final class DemoDaemons implements AutoCloseable {
    /** Credential of operators. */
    public static final String OPERATOR_TOKEN = "demo-operator-token";

    private final List<Daemon> mDaemons = new ArrayList<>();

    /**
     * Starts daemons.
     *
     * @param store address of the store
     * @param count number of daemons
     */
    public DemoDaemons(URI store, int count) {
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peerPorts.add(freePort());
        }
        for (int i = 0; i < count; i++) {
            mDaemons.add(start(store, i, peerPorts));
        }
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
        return address(mDaemons.get(index).callerAddress().getPort());
    }

    /**
     * Returns where a daemon takes operators.
     *
     * @param index number of the daemon, from 0
     * @return address
     */
    public URI operators(int index) {
        return address(mDaemons.get(index).operatorAddress().getPort());
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
    }

    private static Daemon start(URI store, int index, List<Integer> peerPorts) {
        Map<String, String> flags = new HashMap<>();
        flags.put("fleet", fleet(index));
        flags.put("host-name", "entry-" + (index + 1));
        flags.put("domain", "zone-a");
        flags.put("region", fleet(index) + "-region");
        flags.put("caller-address", "127.0.0.1:" + freePort());
        flags.put("operator-address", "127.0.0.1:" + freePort());
        flags.put("peer-address", "127.0.0.1:" + peerPorts.get(index));
        flags.put("store-address", store.toString());
        flags.put("peer-key", "demo-peer-key-of-at-least-32-bytes");
        flags.put("operator-token", OPERATOR_TOKEN);
        flags.put("seeds", seeds(peerPorts));
        flags.put("balancer-lag", "PT0.5S");
        flags.put("io-threads", "2");
        try {
            return Daemon.start(new SettingsReader(flags, Map.of()).read());
        } catch (SettingsException | IOException e) {
            throw new CommandException(ExitCode.USAGE, "a daemon cannot start: " + e.getMessage());
        }
    }

    private static String seeds(List<Integer> peerPorts) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < peerPorts.size(); i++) {
            String fleet = fleet(i);
            String host = fleet + "/entry-" + (i + 1);
            String place = fleet + "/zone-a@" + fleet + "-region";
            seeds.add(host + "@127.0.0.1:" + peerPorts.get(i) + "@" + place);
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
