package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.undertow.connector.ByteBufferPool;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.forward.ServerHealth;
import org.masticweir.http.Dialer;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.path.ServerCaller;
import org.masticweir.path.ServerDialer;
import org.masticweir.path.ServerPaths;
import org.masticweir.path.TunnelOffer;
import org.masticweir.path.TunnelServer;
import org.masticweir.peer.PeerLinks;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * How a router reaches servers: its own paths, tunnels through other routers, and the tunnels that
 * it carries for them. Owned by the traffic thread, except where noted.
 */
final class ServerAccess implements AutoCloseable {
    private static final int KEY_BYTES = 16;

    private final ServerPaths paths = ServerPaths.create();
    private final ServerDialer dialer;
    private final ServerCaller caller;
    private final TunnelServer tunnelServer;
    private final TunnelExchange exchange;
    private final ServerHealth health;
    private final MetricRegistry metrics;

    /**
     * Opens the tunnel port.
     *
     * @param peerIds routers that receive this router's offers
     * @param view returns the current servers
     * @param takesTunnels whether new tunnels of other routers are accepted
     */
    ServerAccess(
            RelaySettings settings,
            XnioWorker worker,
            XnioIoThread thread,
            ByteBufferPool buffers,
            Dialer tcp,
            HttpCaller httpCaller,
            Clock clock,
            PeerLinks links,
            Supplier<? extends Iterable<RouterId>> peerIds,
            Supplier<RelayView> view,
            BooleanSupplier takesTunnels,
            ServerHealth health,
            MetricRegistry metrics) {
        this.health = checkNotNull(health, "health");
        this.metrics = checkNotNull(metrics, "metrics");
        SplittableRandom random = new SplittableRandom();
        Supplier<ImmutableList<BackendServer>> servers =
                () -> view.get().servers().values().asList();
        dialer =
                new ServerDialer(
                        tcp,
                        thread,
                        buffers,
                        clock,
                        paths,
                        settings.domain(),
                        random,
                        servers,
                        this::onPathsChanged);
        caller = new ServerCaller(httpCaller, dialer);
        String key = newKey();
        tunnelServer =
                new TunnelServer(
                        worker,
                        thread,
                        settings.tunnels(),
                        key,
                        servers,
                        takesTunnels,
                        settings.domain(),
                        dialer,
                        random,
                        metrics);
        TunnelOffer offer = new TunnelOffer(settings.tunnels(), key, settings.domain(), true);
        exchange = new TunnelExchange(links, peerIds, thread, dialer, offer);
    }

    private static String newKey() {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Registers the message handlers; call before the links start. */
    void start() {
        exchange.start();
    }

    ServerDialer dialer() {
        return dialer;
    }

    ServerCaller caller() {
        return caller;
    }

    /** Removes servers that are no longer listed. */
    void retainServers(Set<ServerIncarnation> listed) {
        paths.retainServers(listed);
    }

    private void onPathsChanged(boolean areAllLost) {
        String change = areAllLost ? "lost" : "restored";
        metrics.counter(MetricName.of("server_paths_changed_total", "to", change)).inc();
        if (areAllLost) {
            health.forgetFailures();
        }
        exchange.update(!areAllLost);
    }

    @Override
    public void close() {
        tunnelServer.close();
    }
}
