package org.masticweir.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import javax.net.ssl.SSLContext;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
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
        return FramedDialer.INSTANCE;
    }

    /**
     * Returns a dialer that opens TLS connections to servers whose certificate {@code context}
     * trusts, and which is for their IP number.
     */
    static Dialer tls(SSLContext context) {
        return new TlsDialer(context);
    }

    /**
     * Takes the raw connection out of the client, for bytes that are passed on as they are.
     *
     * @throws IOException if the client has closed the connection
     */
    static StreamConnection takeRaw(ClientConnection connection) throws IOException {
        AnswerFraming.of(connection).lift();
        return connection.performUpgrade();
    }

    /**
     * Closes {@code connection} at once; its close listener is called.
     *
     * <p>The client's own close shuts down only its side and then waits for the peer's, so that the
     * connections to a server which is paused would pile up. Taking the raw connection out of the
     * client first closes the socket without that wait.
     */
    static void discard(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            // Closed by the client already.
            IoUtils.safeClose(connection);
        }
    }

    /** Formats the address for a URI or a host field. */
    static String hostAndPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        String literal = host.contains(":") ? "[" + host + "]" : host;
        return literal + ":" + address.getPort();
    }
}
