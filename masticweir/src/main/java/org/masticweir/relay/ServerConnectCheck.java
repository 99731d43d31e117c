package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.Dialer;
import org.masticweir.path.ServerDialer;
import org.xnio.XnioIoThread;

/**
 * Determines whether the process of a server still runs, by a connection that carries no request;
 * runs on the traffic thread.
 *
 * <p>Unlike a {@link ServerProbe}, it waits for no slot of the server, and may be used while the
 * server asked for a pause.
 */
final class ServerConnectCheck {
    /** Timeout of the connection, in ms: a round trip, and a tunnel if the path is lost. */
    private static final long TIMEOUT_MS = 300;

    /** Time in which a process that ends closes its listener after its connections, in ms. */
    private static final long DELAY_MS = 10;

    private final ServerDialer dialer;
    private final XnioIoThread thread;

    ServerConnectCheck(ServerDialer dialer, XnioIoThread thread) {
        this.dialer = checkNotNull(dialer, "dialer");
        this.thread = checkNotNull(thread, "thread");
    }

    /** Calls {@code callback} once with whether {@code server} accepts a connection. */
    void check(BackendServer server, Consumer<Boolean> callback) {
        thread.executeAfter(() -> connect(server, callback), DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void connect(BackendServer server, Consumer<Boolean> callback) {
        dialer.newAttempt(server, TIMEOUT_MS)
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                Dialer.discard(connection);
                                callback.accept(true);
                            }

                            @Override
                            public void failed(IOException e) {
                                callback.accept(false);
                            }
                        });
    }
}
