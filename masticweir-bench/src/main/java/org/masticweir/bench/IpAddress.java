package org.masticweir.bench;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads addresses as IP number and port. */
public final class IpAddress {
    private IpAddress() {}

    /** Reads {@code ip:port}; names are refused, nothing is looked up. */
    public static InetSocketAddress parse(String text) {
        HostAndPort parts = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    /** Returns the address as {@code ip:port}. */
    public static String text(InetSocketAddress address) {
        return InetAddresses.toAddrString(address.getAddress()) + ":" + address.getPort();
    }
}
