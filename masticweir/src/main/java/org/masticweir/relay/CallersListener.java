package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The listener of the callers' port. The builder of the server library offers no access to a
 * connection before its request is read, so this class opens the port itself. Thread-safe.
 */
final class CallersListener implements AutoCloseable {
    /**
     * Buffer size that the server library uses for a heap of the size of a router's; requests are
     * mostly shorter.
     */
    private static final int BUFFER_BYTES = 1_024;

    private static final int UNLIMITED_POOL = -1;
    private static final int THREAD_LOCAL_BUFFERS = 4;

    private final InetSocketAddress address;
    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final ConnectionGate gate;
    private final OptionMap socketOptions;
    private AcceptingChannel<? extends StreamConnection> channel;

    CallersListener(
            InetSocketAddress address,
            XnioWorker worker,
            HttpHandler handler,
            ConnectionGate gate,
            OptionMap socketOptions,
            OptionMap serverOptions) {
        this.address = checkNotNull(address, "address");
        this.worker = checkNotNull(worker, "worker");
        this.gate = checkNotNull(gate, "gate");
        this.socketOptions = checkNotNull(socketOptions, "socketOptions");
        http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(
                                true, BUFFER_BYTES, UNLIMITED_POOL, THREAD_LOCAL_BUFFERS),
                        serverOptions);
        http.setRootHandler(checkNotNull(handler, "handler"));
    }

    /** Opens the port. */
    synchronized void open() throws IOException {
        gate.start();
        channel =
                worker.createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(gate.before(http)),
                        socketOptions);
        channel.resumeAccepts();
    }

    /** Closes the port; open connections end with the worker. */
    @Override
    public synchronized void close() {
        IoUtils.safeClose(channel);
    }
}
