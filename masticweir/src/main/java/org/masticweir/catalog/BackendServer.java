package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;

/**
 * One life of a backend server as it says of itself; immutable.
 *
 * @param address where it listens
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 */
public record BackendServer(
        ServerIncarnation incarnation,
        ServiceName service,
        InetSocketAddress address,
        DomainId domain,
        int slots,
        boolean leaving) {
    public BackendServer {
        checkNotNull(incarnation, "incarnation");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkArgument(address.getPort() > 0, "address %s", address);
        checkArgument(slots >= 1, "slots %s", slots);
    }

    /** Returns this server as one that takes no new work. */
    public BackendServer asLeaving() {
        return new BackendServer(incarnation, service, address, domain, slots, true);
    }

    /** Returns the id, which a later life may have too. */
    public EngineId id() {
        return incarnation.id();
    }
}
