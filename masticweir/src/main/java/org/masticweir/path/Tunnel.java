package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.US_ASCII;

import com.google.common.collect.ImmutableList;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channel;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.Dialer;
import org.masticweir.http.IpAddress;
import org.masticweir.http.TurnTimer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One connection of another router and the connection to its server; runs on the traffic thread.
 *
 * <p>A server's reset must reach the other router as a reset: the end of a connection may be the
 * end of an answer without a length. The other router's connection is therefore set to reset on
 * close, also for the case that this process is killed, until the server has closed regularly.
 */
final class Tunnel {
    private static final int MAX_HEAD_BYTES = 1_024;
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern REQUEST =
            Pattern.compile(
                    "GET " + TunnelClient.PATH_PREFIX + "([0-9a-f]+)/(\\S+) HTTP/1\\.1\r\n");

    /**
     * Timeout for the request and for the connection to the server, in ms: many round trips. While
     * a server is not known to have failed, other routers go on to choose it.
     */
    private static final long OPEN_TIMEOUT_MS = 60;

    /** Time after which other servers are tried besides one that does not accept, in ms. */
    private static final long CONTROL_DELAY_MS = 20;

    private final TunnelServer owner;
    private final StreamConnection client;
    private final ByteBuffer head = ByteBuffer.allocate(MAX_HEAD_BYTES);
    private final TurnTimer timer;
    private final Set<ServerConnect> pendingConnects = new HashSet<>();
    private Optional<StreamConnection> server = Optional.empty();
    private Optional<BackendServer> requested = Optional.empty();
    private boolean isServerRefused;
    private boolean isControlStarted;
    private boolean isControlReached;
    private int pendingControls;
    private boolean isOpen;
    private boolean isClosed;

    Tunnel(TunnelServer owner, StreamConnection client) {
        this.owner = checkNotNull(owner, "owner");
        this.client = checkNotNull(client, "client");
        timer = TurnTimer.start(owner.thread(), OPEN_TIMEOUT_MS, this::onTimeout);
    }

    void start() {
        setResetOnClose(true);
        client.getSourceChannel().setReadListener(this::readHead);
        client.getSourceChannel().resumeReads();
        readHead(client.getSourceChannel());
    }

    private void readHead(StreamSourceChannel source) {
        try {
            int count = source.read(head);
            if (count < 0 || !head.hasRemaining()) {
                close();
                return;
            }
        } catch (IOException e) {
            TunnelServer.LOG.debug("tunnel: a request broke off, {}", e.getMessage());
            close();
            return;
        }
        String text = new String(head.array(), 0, head.position(), US_ASCII);
        if (text.endsWith(HEAD_END)) {
            source.suspendReads();
            handleRequest(text);
        }
    }

    private void handleRequest(String text) {
        Matcher request = REQUEST.matcher(text);
        Optional<InetSocketAddress> address =
                request.lookingAt() ? parseAddress(request.group(2)) : Optional.empty();
        if (address.isEmpty()) {
            close();
            return;
        }
        TunnelStatus status = owner.check(request.group(1));
        Optional<BackendServer> listed = owner.findServer(address.get());
        if (status != TunnelStatus.OPEN) {
            refuse(status);
        } else if (listed.isEmpty()) {
            refuse(TunnelStatus.NOT_LISTED);
        } else {
            connect(listed.get());
        }
    }

    private void connect(BackendServer target) {
        requested = Optional.of(target);
        owner.thread().executeAfter(this::checkPaths, CONTROL_DELAY_MS, TimeUnit.MILLISECONDS);
        open(
                target,
                this::onConnected,
                () -> {
                    isServerRefused = true;
                    checkPaths();
                    refuseIfDecided();
                });
    }

    /**
     * Connects to other servers to distinguish a failed server from a lost path. A router that has
     * just lost its paths would otherwise report each server as failed.
     */
    private void checkPaths() {
        if (isClosed || isOpen || isControlStarted) {
            return;
        }
        isControlStarted = true;
        ImmutableList<BackendServer> controls = owner.controlsFor(requested.orElseThrow());
        isControlReached = controls.isEmpty();
        pendingControls = controls.size();
        controls.forEach(c -> open(c, this::onControlReached, this::onControlFailed));
    }

    private void onControlReached(StreamConnection connection) {
        IoUtils.safeClose(connection);
        isControlReached = true;
        refuseIfDecided();
    }

    private void onControlFailed() {
        pendingControls--;
        refuseIfDecided();
    }

    private void refuseIfDecided() {
        if (isServerRefused && (isControlReached || pendingControls == 0)) {
            refuseUnreached();
        }
    }

    private void refuseUnreached() {
        if (isControlReached && !isClosed && !isOpen) {
            requested.ifPresent(s -> owner.dialer().recordUnreachable(s));
        }
        refuse(isControlReached ? TunnelStatus.UNREACHABLE : TunnelStatus.NO_PATH);
    }

    private void open(BackendServer target, Consumer<StreamConnection> onOpen, Runnable onFailure) {
        ServerConnect connect = new ServerConnect(target, onOpen, onFailure);
        pendingConnects.add(connect);
        owner.dialer().dialDirectly(target, connect);
    }

    /** One connection to a server, whose result is evidence about this router's paths. */
    private final class ServerConnect implements ClientCallback<ClientConnection> {
        private final BackendServer target;
        private final Consumer<StreamConnection> onOpen;
        private final Runnable onFailure;

        ServerConnect(BackendServer target, Consumer<StreamConnection> onOpen, Runnable onFailure) {
            this.target = target;
            this.onOpen = onOpen;
            this.onFailure = onFailure;
        }

        @Override
        public void completed(ClientConnection connection) {
            pendingConnects.remove(this);
            owner.dialer().recordDirectResult(target, true);
            try {
                onOpen.accept(Dialer.takeRaw(connection));
            } catch (IOException e) {
                TunnelServer.LOG.debug("tunnel: closed at once, {}", e.getMessage());
                Dialer.discard(connection);
                onFailure.run();
            }
        }

        @Override
        public void failed(IOException e) {
            pendingConnects.remove(this);
            owner.dialer().recordDirectResult(target, false);
            onFailure.run();
        }
    }

    private void onTimeout() {
        pendingConnects.forEach(c -> owner.dialer().recordDirectResult(c.target, false));
        refuseUnreached();
    }

    private static Optional<InetSocketAddress> parseAddress(String text) {
        try {
            return Optional.of(IpAddress.parse(text));
        } catch (IllegalArgumentException e) {
            TunnelServer.LOG.info("tunnel: request with a malformed address, {}", e.getMessage());
            return Optional.empty();
        }
    }

    private void onConnected(StreamConnection connected) {
        if (isClosed) {
            IoUtils.safeClose(connected);
            return;
        }
        timer.cancel();
        isOpen = true;
        server = Optional.of(connected);
        owner.countEnd(TunnelStatus.OPEN);
        client.setCloseListener(c -> close());
        connected.setCloseListener(c -> close());
        write(
                TunnelStatus.OPEN,
                () -> {
                    transfer(client.getSourceChannel(), connected.getSinkChannel(), this::close);
                    transfer(
                            connected.getSourceChannel(),
                            client.getSinkChannel(),
                            this::closeAfterLastByte);
                });
    }

    /** Writes the reply; the client's receive window always has room for it. */
    private void write(TunnelStatus status, Runnable next) {
        ByteBuffer reply = ByteBuffer.wrap(status.toHead().getBytes(US_ASCII));
        try {
            client.getSinkChannel().write(reply);
            client.getSinkChannel().flush();
        } catch (IOException e) {
            TunnelServer.LOG.debug("tunnel: a reply could not be written, {}", e.getMessage());
            close();
            return;
        }
        if (reply.hasRemaining()) {
            close();
            return;
        }
        next.run();
    }

    private void transfer(StreamSourceChannel source, StreamSinkChannel sink, Runnable atEnd) {
        ChannelListeners.initiateTransfer(
                Long.MAX_VALUE,
                source,
                sink,
                null,
                s -> {
                    s.suspendWrites();
                    atEnd.run();
                },
                (channel, e) -> abort(channel, e),
                (channel, e) -> abort(channel, e),
                owner.buffers());
    }

    private void abort(Channel channel, IOException e) {
        TunnelServer.LOG.debug("tunnel: connection {} broke, {}", channel, e.getMessage());
        close();
    }

    /** Ends the client's connection regularly, as the server has ended its own. */
    private void closeAfterLastByte() {
        if (isClosed) {
            return;
        }
        StreamSinkChannel sink = client.getSinkChannel();
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                closeRegularly();
                return;
            }
            sink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    s -> closeRegularly(), (channel, e) -> abort(channel, e)));
            sink.resumeWrites();
        } catch (IOException e) {
            abort(sink, e);
        }
    }

    private void closeRegularly() {
        setResetOnClose(false);
        close();
    }

    private void refuse(TunnelStatus status) {
        if (isClosed || isOpen) {
            return;
        }
        owner.countEnd(status);
        write(status, this::closeRegularly);
    }

    private void setResetOnClose(boolean isReset) {
        try {
            client.setOption(Options.CLOSE_ABORT, isReset);
        } catch (IOException e) {
            TunnelServer.LOG.debug("tunnel: already closed, {}", e.getMessage());
        }
    }

    private void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        timer.cancel();
        owner.remove(this);
        IoUtils.safeClose(client);
        server.ifPresent(IoUtils::safeClose);
    }
}
