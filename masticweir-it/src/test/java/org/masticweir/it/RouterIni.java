package org.masticweir.it;

import java.net.InetSocketAddress;
import org.masticweir.http.IpAddress;

/** Writes the settings of a router that a test starts behind the proxy. */
final class RouterIni {
    private static final String LINKS =
            """
            [router]
            id = %s
            domain = %s
            caller_address = %s
            operator_address = %s
            peer_address = %s
            advertised_peer_address = %s
            [platform]
            address = %s
            """;

    private RouterIni() {}

    /**
     * Returns the settings of router {@code id}.
     *
     * @param advertised where other routers reach it
     * @param platform where it reaches the platform
     * @param more further lines, which begin in section platform
     */
    static String of(
            String id,
            String domain,
            RouterPorts ports,
            InetSocketAddress advertised,
            InetSocketAddress platform,
            String more) {
        String links =
                String.format(
                        LINKS,
                        id,
                        domain,
                        IpAddress.text(ports.callers()),
                        IpAddress.text(ports.operators()),
                        IpAddress.text(ports.peers()),
                        IpAddress.text(advertised),
                        IpAddress.text(platform));
        return links + more;
    }
}
