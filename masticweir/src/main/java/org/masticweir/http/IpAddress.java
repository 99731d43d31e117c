package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** The textual form of addresses: an IP number, a colon and a port; nothing is looked up. */
public final class IpAddress {
    private IpAddress() {}

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

    /** Returns {@code address} as {@code ip:port}, an IPv6 number in brackets. */
    public static String text(InetSocketAddress address) {
        String host = InetAddresses.toAddrString(address.getAddress());
        return HostAndPort.fromParts(host, address.getPort()).toString();
    }
}
