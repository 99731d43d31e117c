package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * Where a router's links listen and which restart of it that is.
 *
 * @param incarnation grows with every restart; 0 when not known, as in the instance list
 */
public record RouterAddress(
        RouterId router, DomainId domain, InetSocketAddress address, long incarnation) {
    public RouterAddress {
        checkNotNull(router, "router");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(!address.isUnresolved(), "address %s is no IP address", address);
        checkArgument(incarnation >= 0, "incarnation %s", incarnation);
    }

    public static RouterAddress of(
            RouterId router, DomainId domain, InetSocketAddress address, long incarnation) {
        return new RouterAddress(router, domain, address, incarnation);
    }
}
