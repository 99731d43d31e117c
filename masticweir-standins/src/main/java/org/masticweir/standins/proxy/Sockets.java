package org.masticweir.standins.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** How the proxy breaks a socket; stateless. */
final class Sockets {
    private static final Logger LOG = LogManager.getLogger(Sockets.class);

    private Sockets() {}

    /** Closes a socket with a linger time of 0, upon which TCP sends a reset. */
    static void reset(SocketChannel channel) {
        try (channel) {
            if (channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            LOG.debug("proxy: reset failed, {}", e.getMessage());
        }
    }
}
