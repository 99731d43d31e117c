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
 * Passes the bytes of connections that were made before the router listened on to its port, and
 * back, until either end closes; on a thread of its own that ends with the last of them.
 *
 * <p>The I/O library opens its own sockets and takes over none. Only the connections of one start
 * come this way, some dozens; a copy of their bytes costs less than what their callers would lose.
 */
final class EarlyConnectionProxy implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EarlyConnectionProxy.class);

    /** Bytes on their way in one direction of one connection; an event has less than a tenth. */
    private static final int BUFFER_BYTES = 8 << 10;

    private final Selector selector;
    private final InetSocketAddress router;

    /**
     * Pairs that are not closed; belongs to the thread. The selector's own keys don't tell: a
     * closed one stays among them until the next selection, which may wait for ever.
     */
    private int openPairs;

    private EarlyConnectionProxy(Selector selector, InetSocketAddress router) {
        this.selector = selector;
        this.router = router;
    }

    /** Starts passing on what {@code callers} send to the router that listens at {@code router}. */
    static EarlyConnectionProxy start(List<SocketChannel> callers, InetSocketAddress router) {
        checkNotNull(router, "router");
        try {
            EarlyConnectionProxy proxy = new EarlyConnectionProxy(Selector.open(), router);
            LOG.info("router: {} callers connected while it started", callers.size());
            Thread thread = new Thread(() -> proxy.run(callers), "early-connections");
            thread.setDaemon(true);
            thread.start();
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException("early connections cannot be passed on", e);
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
    }

    private void run(List<SocketChannel> callers) {
        callers.forEach(this::addPair);
        try {
            while (openPairs > 0) {
                selector.select(key -> ((Pair) key.attachment()).forwardBytes());
            }
            selector.close();
        } catch (ClosedSelectorException e) {
            LOG.debug("router: early connections end with it");
        } catch (IOException e) {
            LOG.warn("router: early connections are lost, {}", e.getMessage());
        }
    }

    private void addPair(SocketChannel caller) {
        Pair pair = new Pair(caller);
        openPairs++;
        try {
            caller.configureBlocking(false);
            if (pair.readCaller()) {
                pair.close();
            } else {
                pair.connect();
            }
        } catch (IOException e) {
            LOG.info("router: an early connection is lost, {}", e.getMessage());
            pair.close();
        }
    }

    /** A caller's connection and the one to the router that goes with it. */
    private final class Pair {
        private final SocketChannel caller;
        private final ByteBuffer toRouter = ByteBuffer.allocate(BUFFER_BYTES);
        private final ByteBuffer toCaller = ByteBuffer.allocate(BUFFER_BYTES);
        private SocketChannel routerChannel;
        private SelectionKey callerKey;
        private SelectionKey routerKey;
        private boolean isClosed;

        Pair(SocketChannel caller) {
            this.caller = caller;
        }

        /**
         * Reads what the caller has sent; returns whether it has closed since.
         *
         * <p>Failure guarded against: a caller gives up because nobody reads its request, and the
         * request runs all the same.
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
            routerChannel = SocketChannel.open(router);
            routerChannel.configureBlocking(false);
            callerKey = caller.register(selector, 0, this);
            routerKey = routerChannel.register(selector, 0, this);
            forwardBytes();
        }

        /**
         * Moves what can be moved now, and waits for more.
         *
         * <p>A caller's last bytes are passed on only once nothing was found behind them: a close
         * that is read along with them ends the pair, and the router gets no whole request.
         */
        void forwardBytes() {
            try {
                if (readCaller()) {
                    close();
                    return;
                }
                write(toRouter, routerChannel);
                boolean answered = routerChannel.read(toCaller) < 0;
                write(toCaller, caller);
                if (answered && toCaller.position() == 0) {
                    close();
                    return;
                }
                callerKey.interestOps(interest(toRouter, toCaller));
                routerKey.interestOps(interest(toCaller, toRouter));
            } catch (IOException e) {
                LOG.debug("router: an early connection ends, {}", e.getMessage());
                close();
            }
        }

        private void write(ByteBuffer buffer, SocketChannel to) throws IOException {
            buffer.flip();
            to.write(buffer);
            buffer.compact();
        }

        /** A channel is read while its buffer has room and written while the other holds bytes. */
        private int interest(ByteBuffer read, ByteBuffer written) {
            int reads = read.hasRemaining() ? SelectionKey.OP_READ : 0;
            int writes = written.position() > 0 ? SelectionKey.OP_WRITE : 0;
            return reads | writes;
        }

        void close() {
            if (!isClosed) {
                isClosed = true;
                openPairs--;
            }
            IoUtils.safeClose(caller);
            IoUtils.safeClose(routerChannel);
        }
    }
}
