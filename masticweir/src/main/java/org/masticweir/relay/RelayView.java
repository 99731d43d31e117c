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
 * What the traffic thread goes by; immutable, published by the control thread.
 *
 * @param catalog empty until one was read
 * @param isCatalogFresh whether the catalog is fresh enough to say that something does not exist
 */
record RelayView(
        Optional<Catalog> catalog,
        ImmutableListMultimap<ServiceName, BackendServer> servers,
        boolean isCatalogFresh) {
    private static final RelayView EMPTY =
            new RelayView(Optional.empty(), ImmutableListMultimap.of(), false);

    RelayView {
        checkNotNull(catalog, "catalog");
        checkNotNull(servers, "servers");
    }

    static RelayView empty() {
        return EMPTY;
    }

    static RelayView of(Optional<Catalog> catalog, List<BackendServer> servers, boolean sure) {
        return new RelayView(catalog, Multimaps.index(servers, BackendServer::service), sure);
    }

    /** Returns the server in that life; empty if it is gone or has started again. */
    Optional<BackendServer> server(ServerIncarnation life) {
        return servers.values().stream().filter(s -> s.incarnation().equals(life)).findAny();
    }

    ImmutableList<BackendServer> serversOf(ServiceName service) {
        return servers.get(service);
    }
}
