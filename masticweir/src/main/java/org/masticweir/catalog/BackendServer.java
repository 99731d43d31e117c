package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Utf8;
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
    /** Limit on the name of its service, in UTF-8; messages between routers carry it. */
    public static final int MAX_SERVICE_BYTES = 1_024;

    public BackendServer {
        checkNotNull(incarnation, "incarnation");
        checkNotNull(service, "service");
        checkArgument(
                Utf8.encodedLength(service.value()) <= MAX_SERVICE_BYTES,
                "service name of %s chars",
                service.value().length());
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
