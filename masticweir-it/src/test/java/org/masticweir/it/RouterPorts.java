package org.masticweir.it;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where a router listens on loopback.
 *
 * @param callers its callers' port
 * @param operators its operators' port
 * @param peers its peers' port; peers reach it by the proxy's route to this one
 */
record RouterPorts(
        InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress peers) {
    /** How many ports a router takes. */
    static final int COUNT = 3;

    /** Returns the addresses of {@code ports}: callers', operators' and peers', in this order. */
    static RouterPorts of(List<Integer> ports) {
        checkArgument(ports.size() == COUNT, "ports %s", ports);
        return new RouterPorts(
                loopback(ports.get(0)), loopback(ports.get(1)), loopback(ports.get(2)));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddresses.forString("127.0.0.1"), port);
    }
}
