package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.Comparator.comparing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.metrics.MetricName;
import org.xnio.BufferAllocator;
import org.xnio.ByteBufferSlicePool;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Carries connections of other routers to servers; runs on the traffic thread.
 *
 * <p>Only a router that holds the key is served, and only for listed servers. The number of tunnels
 * is limited, so that the requests of the own callers still find memory and descriptors.
 */
public final class TunnelServer implements AutoCloseable {
    static final Logger LOG = LogManager.getLogger(TunnelServer.class);

    private static final int MAX_TUNNELS = 256;
    private static final int BACKLOG = 256;

    /** Size of the buffer of one direction; an event of a stream takes less than a tenth. */
    private static final int BUFFER_BYTES = 8 << 10;

    private static final int BUFFERS_PER_REGION = 16;

    private final XnioIoThread thread;
    private final String key;
    private final Supplier<ImmutableList<BackendServer>> listedServers;
    private final BooleanSupplier isOpen;

    /** Limit on the servers that are tried besides one that does not accept. */
    private static final int MAX_CONTROLS = 3;

    private final DomainId ownDomain;
    private final ServerDialer dialer;
    private final RandomGenerator random;
    private final AcceptingChannel<StreamConnection> acceptor;
    private final ByteBufferSlicePool buffers =
            new ByteBufferSlicePool(
                    BufferAllocator.BYTE_BUFFER_ALLOCATOR,
                    BUFFER_BYTES,
                    BUFFER_BYTES * BUFFERS_PER_REGION);
    private final Set<Tunnel> tunnels = new HashSet<>();
    private final Counter openCounter;
    private final MetricRegistry metrics;

    /**
     * Opens the tunnel port.
     *
     * @param key secret that a request for a tunnel must bear
     * @param listedServers returns all listed servers
     * @param isOpen whether new tunnels are accepted
     * @param dialer opens this router's own connections to servers
     * @throws MasticweirException if the port can't be opened
     */
    public TunnelServer(
            XnioWorker worker,
            XnioIoThread thread,
            InetSocketAddress address,
            String key,
            Supplier<ImmutableList<BackendServer>> listedServers,
            BooleanSupplier isOpen,
            DomainId ownDomain,
            ServerDialer dialer,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.thread = checkNotNull(thread, "thread");
        this.key = checkNotNull(key, "key");
        this.listedServers = checkNotNull(listedServers, "listedServers");
        this.isOpen = checkNotNull(isOpen, "isOpen");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
        this.dialer = checkNotNull(dialer, "dialer");
        this.random = checkNotNull(random, "random");
        this.metrics = checkNotNull(metrics, "metrics");
        openCounter = metrics.counter(MetricName.of("tunnels_carried"));
        acceptor = listen(worker, address);
    }

    private AcceptingChannel<StreamConnection> listen(
            XnioWorker worker, InetSocketAddress address) {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .getMap();
        try {
            AcceptingChannel<StreamConnection> channel =
                    worker.createStreamConnectionServer(
                            address, ChannelListeners.openListenerAdapter(this::accept), options);
            channel.resumeAccepts();
            return channel;
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID,
                    Verdict.NOT_RUN,
                    "the tunnel port cannot be opened: " + e.getMessage(),
                    e);
        }
    }

    private void accept(StreamConnection connection) {
        Tunnel tunnel = new Tunnel(this, connection);
        tunnels.add(tunnel);
        openCounter.inc();
        tunnel.start();
    }

    /** Returns the listed server at an address. */
    Optional<BackendServer> findServer(InetSocketAddress address) {
        return listedServers.get().stream().filter(s -> s.address().equals(address)).findAny();
    }

    /** Returns whether a tunnel may be opened now, or the reason to refuse it. */
    TunnelStatus check(String requestKey) {
        if (!MessageDigest.isEqual(bytes(key), bytes(requestKey))) {
            return TunnelStatus.FORBIDDEN;
        }
        if (!isOpen.getAsBoolean() || tunnels.size() > MAX_TUNNELS) {
            return TunnelStatus.BUSY;
        }
        return dialer.paths().areAllLost() ? TunnelStatus.NO_PATH : TunnelStatus.OPEN;
    }

    /**
     * Returns servers that show whether this router reaches any server, while {@code server} is not
     * reached. The servers of a domain fail together, so they are of other domains if possible, and
     * one is of the own domain, as this domain may be cut off from the others. A server may have
     * ended without the knowledge of this router, so there are several.
     */
    ImmutableList<BackendServer> controlsFor(BackendServer server) {
        List<BackendServer> others = new ArrayList<>(listedServers.get());
        others.removeIf(s -> s.address().equals(server.address()));
        Collections.shuffle(others, new Random(random.nextLong()));
        others.sort(comparing(s -> dialer.paths().isUnreachable(s.incarnation(), dialer.now())));
        List<BackendServer> elsewhere =
                others.stream().filter(s -> !s.domain().equals(server.domain())).toList();
        Stream<BackendServer> near =
                elsewhere.stream().filter(s -> s.domain().equals(ownDomain)).limit(1);
        return Stream.of(near, elsewhere.stream(), others.stream())
                .flatMap(s -> s)
                .distinct()
                .limit(MAX_CONTROLS)
                .collect(toImmutableList());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(US_ASCII);
    }

    XnioIoThread thread() {
        return thread;
    }

    ServerDialer dialer() {
        return dialer;
    }

    ByteBufferSlicePool buffers() {
        return buffers;
    }

    void countEnd(TunnelStatus status) {
        String result = Ascii.toLowerCase(status.name());
        metrics.counter(MetricName.of("tunnels_total", "result", result)).inc();
    }

    void remove(Tunnel tunnel) {
        if (tunnels.remove(tunnel)) {
            openCounter.dec();
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(acceptor);
    }
}
