package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/**
 * Listens on the callers' port while a router starts, so that callers can connect; not thread-safe.
 *
 * <p>If all routers are lost and restart together, every connection is refused until a router
 * listens. A caller does not retry after a second refusal, although its report could wait some
 * seconds for the first event. With this listener, the operating system accepts the connections and
 * buffers their bytes until the router accepts them.
 *
 * <p>This class must not log or load many classes, because it is used before the log is set up.
 */
public final class StartupListener implements AutoCloseable {
    /** Maximum number of waiting connections; the operating system refuses further connections. */
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private StartupListener(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Listens at {@code address}.
     *
     * @throws MasticweirException if the port can't be opened
     */
    public static StartupListener open(InetSocketAddress address) {
        checkNotNull(address, "address");
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(address, BACKLOG);
            channel.configureBlocking(false);
            return new StartupListener(channel);
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID,
                    Verdict.NOT_RUN,
                    "a port cannot be opened: " + e.getMessage(),
                    e);
        }
    }

    /** Closes the port and returns the connections that callers have opened to it. */
    List<SocketChannel> release() throws IOException {
        List<SocketChannel> connections = new ArrayList<>();
        SocketChannel next = channel.accept();
        while (next != null) {
            connections.add(next);
            next = channel.accept();
        }
        channel.close();
        return connections;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
