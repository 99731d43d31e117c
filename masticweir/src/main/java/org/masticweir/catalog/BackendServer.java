package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;

/**
 * One life of a backend server; a restart has another id. Immutable.
 *
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 */
public record BackendServer(
        EngineId id,
        ServiceName service,
        InetSocketAddress address,
        DomainId domain,
        int slots,
        boolean leaving) {
    public BackendServer {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkArgument(slots >= 1, "slots %s", slots);
    }
}
