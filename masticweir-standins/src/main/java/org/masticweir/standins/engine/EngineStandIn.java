package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.standins.http.StandInServer;
import org.masticweir.time.Clock;

/** A running engine stand-in: its server and the thread that computes; thread-safe. */
final class EngineStandIn implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EngineStandIn.class);

    private final String id;
    private final StandInServer server;
    private final Ticker ticker;

    private EngineStandIn(String id, StandInServer server, Ticker ticker) {
        this.id = id;
        this.server = server;
        this.ticker = ticker;
    }

    /** Listens and computes until closed. */
    static EngineStandIn start(EngineSettings settings, Clock clock) {
        checkNotNull(settings, "settings");
        Faults faults = Faults.none(clock);
        Orders orders = Orders.of(settings, clock);
        Ticker ticker = Ticker.of(clock, faults);
        Engine engine = Engine.idle(settings, clock, faults, orders, ticker::workArrived);
        HttpHandler handler = EngineApi.handler(settings, engine, orders, faults);
        StandInServer server = StandInServer.start(settings.listen(), handler);
        ticker.start(engine);
        LOG.info("engine: {} holds {}", settings.id(), settings.models());
        return new EngineStandIn(settings.id(), server, ticker);
    }

    void printReady() {
        server.printReady("engine", id);
    }

    InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        ticker.close();
        server.close();
    }
}
