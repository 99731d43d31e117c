package org.masticweir.standins.service;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.standins.http.Pause;
import org.masticweir.standins.http.StandInServer;
import org.masticweir.time.Clock;

/** A running service stand-in; thread-safe. */
final class ServiceStandIn implements AutoCloseable {
    private final String id;
    private final StandInServer server;

    private ServiceStandIn(String id, StandInServer server) {
        this.id = id;
        this.server = server;
    }

    /** Listens until closed. */
    static ServiceStandIn start(ServiceSettings settings, Clock clock) {
        checkNotNull(settings, "settings");
        Service service = Service.idle(settings, clock);
        Pause pause = Pause.inactive(clock);
        StandInServer server =
                StandInServer.start(
                        settings.listen(),
                        ServiceApi.handler(service, pause, settings.serviceMs()));
        return new ServiceStandIn(settings.id(), server);
    }

    void printReady() {
        server.printReady("service", id);
    }

    InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }
}
