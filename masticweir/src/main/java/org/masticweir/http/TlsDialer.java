package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import java.net.InetSocketAddress;
import java.net.URI;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;
import org.xnio.ssl.SslConnection;

/**
 * Opens TLS connections to servers whose certificate is for their IP number; answers are checked by
 * {@link AnswerFraming}. Thread-safe.
 */
final class TlsDialer implements Dialer {
    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.ENDPOINT_IDENTIFICATION_ALGORITHM, "HTTPS");

    private final CheckedSsl ssl;

    TlsDialer(SSLContext context) {
        ssl = new CheckedSsl(checkNotNull(context, "context"));
    }

    @Override
    public void dial(
            InetSocketAddress address,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ClientCallback<ClientConnection> callback) {
        URI uri = URI.create("https://" + Dialer.hostAndPort(address));
        UndertowClient.getInstance().connect(callback, uri, thread, ssl, buffers, OPTIONS);
    }

    /** Installs the checks on the decrypted bytes of each connection. */
    private static final class CheckedSsl extends UndertowXnioSsl {
        CheckedSsl(SSLContext context) {
            super(Xnio.getInstance(), OPTIONS, context);
        }

        @Override
        public IoFuture<SslConnection> openSslConnection(
                XnioIoThread thread,
                InetSocketAddress bindAddress,
                InetSocketAddress destination,
                ChannelListener<? super SslConnection> openListener,
                ChannelListener<? super BoundChannel> bindListener,
                OptionMap options) {
            return super.openSslConnection(
                    thread,
                    bindAddress,
                    destination,
                    connection -> {
                        AnswerFraming.install(connection);
                        openListener.handleEvent(connection);
                    },
                    bindListener,
                    options);
        }
    }
}
