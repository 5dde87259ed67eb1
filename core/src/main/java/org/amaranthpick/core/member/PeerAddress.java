package org.amaranthpick.core.member;

import java.util.regex.Pattern;

/**
 * IP address and port of a daemon.
 *
 * @param ip IPv4 or IPv6 address, never a host name
 * @param port TCP port, 1 to 65535
 */
public record PeerAddress(String ip, int port) {
    private static final Pattern IP_ADDRESS =
            Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final int MAX_PORT = 65_535;

    /**
     * Checks address and port.
     *
     * @throws IllegalArgumentException if the address is not numeric or the port is out of range
     */
    public PeerAddress {
        if (!IP_ADDRESS.matcher(ip).matches()) {
            throw new IllegalArgumentException(
                    "peer address \"" + ip + "\" is not an IP number; give one such as 10.0.0.7");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " is not in 1.." + MAX_PORT);
        }
    }

    @Override
    public String toString() {
        return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    }
}
