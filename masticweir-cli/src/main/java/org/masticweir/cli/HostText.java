package org.masticweir.cli;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Writes an address the way URLs and operators do; stateless. */
final class HostText {
    private HostText() {}

    static String of(InetSocketAddress address) {
        String host = InetAddresses.toAddrString(address.getAddress());
        return HostAndPort.fromParts(host, address.getPort()).toString();
    }
}
