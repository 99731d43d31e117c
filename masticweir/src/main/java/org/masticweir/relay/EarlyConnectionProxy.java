package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;

/**
 * Forwards bytes in both directions between the router and the connections that callers opened
 * before the router listened on its port, until the caller or the router closes its end. The proxy
 * has its own thread, which ends with the last connection.
 *
 * <p>The I/O library opens its own sockets and can't adopt existing ones. The proxy forwards only
 * the connections of one router start, some dozens. Copying their bytes costs less than the loss of
 * their requests.
 */
final class EarlyConnectionProxy implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EarlyConnectionProxy.class);

    /**
     * Buffer size for one direction of one connection; an event takes less than a tenth of this
     * size.
     */
    private static final int BUFFER_BYTES = 8 << 10;

    private final Selector selector;
    private final InetSocketAddress routerAddress;

    /**
     * Number of open pairs; confined to the proxy's thread. The selector's key set can't provide
     * this number: closed keys stay in the set until the next selection, which may wait forever.
     */
    private int openPairCount;

    private EarlyConnectionProxy(Selector selector, InetSocketAddress routerAddress) {
        this.selector = selector;
        this.routerAddress = routerAddress;
    }

    /**
     * Starts to forward between {@code callers} and the router that listens at {@code
     * routerAddress}.
     */
    static EarlyConnectionProxy start(
            List<SocketChannel> callers, InetSocketAddress routerAddress) {
        checkNotNull(routerAddress, "routerAddress");
        try {
            EarlyConnectionProxy proxy = new EarlyConnectionProxy(Selector.open(), routerAddress);
            LOG.info("router: {} callers connected while it started", callers.size());
            Thread thread = new Thread(() -> proxy.run(callers), "early-connections");
            thread.setDaemon(true);
            thread.start();
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot forward early connections", e);
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
    }

    private void run(List<SocketChannel> callers) {
        callers.forEach(this::addPair);
        try {
            while (openPairCount > 0) {
                selector.select(key -> ((ConnectionPair) key.attachment()).forwardBytes());
            }
            selector.close();
        } catch (ClosedSelectorException e) {
            LOG.debug("router: early connections closed at router shutdown");
        } catch (IOException e) {
            LOG.warn("router: early connections lost, {}", e.getMessage());
        }
    }

    private void addPair(SocketChannel caller) {
        ConnectionPair pair = new ConnectionPair(caller);
        openPairCount++;
        try {
            caller.configureBlocking(false);
            if (pair.readCaller()) {
                pair.close();
            } else {
                pair.connect();
            }
        } catch (IOException e) {
            LOG.info("router: early connection lost, {}", e.getMessage());
            pair.close();
        }
    }

    /** A caller's connection and the corresponding connection to the router. */
    private final class ConnectionPair {
        private final SocketChannel caller;
        private final ByteBuffer toRouter = ByteBuffer.allocate(BUFFER_BYTES);
        private final ByteBuffer toCaller = ByteBuffer.allocate(BUFFER_BYTES);
        private SocketChannel routerChannel;
        private SelectionKey callerKey;
        private SelectionKey routerKey;
        private boolean isClosed;

        ConnectionPair(SocketChannel caller) {
            this.caller = caller;
        }

        /**
         * Reads the bytes that the caller has sent; returns whether the caller has closed its
         * connection.
         *
         * <p>Without this check, the request of a caller that has already disconnected would still
         * run.
         */
        boolean readCaller() throws IOException {
            while (toRouter.hasRemaining()) {
                int count = caller.read(toRouter);
                if (count <= 0) {
                    return count < 0;
                }
            }
            return false;
        }

        void connect() throws IOException {
            routerChannel = SocketChannel.open(routerAddress);
            routerChannel.configureBlocking(false);
            callerKey = caller.register(selector, 0, this);
            routerKey = routerChannel.register(selector, 0, this);
            forwardBytes();
        }

        /**
         * Forwards the bytes that can be read and written now, and sets the operations to wait for.
         *
         * <p>The last bytes of a caller are forwarded only after a further read. If that read
         * detects a close, the pair is closed and these bytes are dropped, so that the router does
         * not receive a complete request.
         */
        void forwardBytes() {
            try {
                if (readCaller()) {
                    close();
                    return;
                }
                write(toRouter, routerChannel);
                boolean isAnswerComplete = routerChannel.read(toCaller) < 0;
                write(toCaller, caller);
                if (isAnswerComplete && toCaller.position() == 0) {
                    close();
                    return;
                }
                callerKey.interestOps(interestOps(toRouter, toCaller));
                routerKey.interestOps(interestOps(toCaller, toRouter));
            } catch (IOException e) {
                LOG.debug("router: early connection closed, {}", e.getMessage());
                close();
            }
        }

        private void write(ByteBuffer buffer, SocketChannel target) throws IOException {
            buffer.flip();
            target.write(buffer);
            buffer.compact();
        }

        /**
         * Returns the operations of a channel: read if {@code readBuffer} has space, write if
         * {@code writeBuffer} has bytes.
         */
        private int interestOps(ByteBuffer readBuffer, ByteBuffer writeBuffer) {
            int reads = readBuffer.hasRemaining() ? SelectionKey.OP_READ : 0;
            int writes = writeBuffer.position() > 0 ? SelectionKey.OP_WRITE : 0;
            return reads | writes;
        }

        void close() {
            if (!isClosed) {
                isClosed = true;
                openPairCount--;
            }
            IoUtils.safeClose(caller);
            IoUtils.safeClose(routerChannel);
        }
    }
}
