package org.masticweir.standins.platform.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** The textual form of addresses: an IP number, a colon and a port. */
public final class Addresses {
    private Addresses() {}

    /**
     * Returns the address written as {@code text}.
     *
     * @throws IllegalArgumentException if it is no IP number with a port
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parts = HostAndPort.fromString(text);
        checkArgument(parts.hasPort(), "address without a port: %s", text);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    public static String text(InetSocketAddress address) {
        return InetAddresses.toUriString(address.getAddress()) + ":" + address.getPort();
    }
}
