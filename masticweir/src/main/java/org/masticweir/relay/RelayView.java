package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.List;
import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;

/**
 * Snapshot of the deployment that the traffic thread uses; immutable, published by the control
 * thread.
 *
 * @param catalog empty before the first catalog is received
 */
record RelayView(
        Optional<Catalog> catalog, ImmutableListMultimap<ServiceName, BackendServer> servers) {
    private static final RelayView EMPTY =
            new RelayView(Optional.empty(), ImmutableListMultimap.of());

    RelayView {
        checkNotNull(catalog, "catalog");
        checkNotNull(servers, "servers");
    }

    static RelayView empty() {
        return EMPTY;
    }

    static RelayView of(Optional<Catalog> catalog, List<BackendServer> servers) {
        return new RelayView(catalog, Multimaps.index(servers, BackendServer::service));
    }

    /** Returns the server in that incarnation; empty if it is gone or has restarted. */
    Optional<BackendServer> server(ServerIncarnation incarnation) {
        return servers.values().stream().filter(s -> s.incarnation().equals(incarnation)).findAny();
    }

    ImmutableList<BackendServer> serversOf(ServiceName service) {
        return servers.get(service);
    }
}
