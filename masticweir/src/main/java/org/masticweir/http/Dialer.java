package org.masticweir.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.net.URI;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/** Opens connections to HTTP servers; thread-safe. */
@FunctionalInterface
public interface Dialer {
    /**
     * Opens a connection and reports it, or the failure, to {@code callback} on {@code thread}.
     * There is no timeout: a connection that is never accepted is never reported.
     */
    void dial(
            InetSocketAddress address,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ClientCallback<ClientConnection> callback);

    /** Returns the dialer that opens TCP connections from this host. */
    static Dialer tcp() {
        OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
        return (address, thread, buffers, callback) ->
                UndertowClient.getInstance()
                        .connect(
                                callback,
                                URI.create("http://" + hostAndPort(address)),
                                thread,
                                buffers,
                                options);
    }

    /** Returns the address as it stands in a URI and in a host field. */
    static String hostAndPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        String literal = host.contains(":") ? "[" + host + "]" : host;
        return literal + ":" + address.getPort();
    }
}
