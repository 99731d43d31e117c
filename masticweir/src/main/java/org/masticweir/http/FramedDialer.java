package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.MapMaker;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Opens TCP connections whose answers are limited by {@link AnswerFraming}; thread-safe. */
final class FramedDialer implements Dialer {
    static final FramedDialer INSTANCE = new FramedDialer();

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final ConcurrentMap<XnioIoThread, Openings> openings =
            new MapMaker().weakKeys().makeMap();

    private FramedDialer() {}

    @Override
    public void dial(
            InetSocketAddress address,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ClientCallback<ClientConnection> callback) {
        Openings opening = openings.computeIfAbsent(thread, Openings::new);
        UndertowClient.getInstance()
                .connect(
                        opening.attaching(callback),
                        URI.create("http://" + Dialer.hostAndPort(address)),
                        opening,
                        buffers,
                        OPTIONS);
    }

    /**
     * Delegate of an I/O thread that installs the limit on each connection it opens. The client
     * library has no hook between opening a connection and reading from it, but it opens
     * connections through the thread that it is given, and reports them on the same call stack. The
     * delegate itself is never started.
     */
    private static final class Openings extends XnioIoThread {
        private final XnioIoThread thread;
        private AnswerFraming opened;

        Openings(XnioIoThread thread) {
            super(thread.getWorker(), thread.getNumber());
            this.thread = checkNotNull(thread, "thread");
        }

        ClientCallback<ClientConnection> attaching(ClientCallback<ClientConnection> callback) {
            return new ClientCallback<>() {
                @Override
                public void completed(ClientConnection connection) {
                    opened.attachTo(connection);
                    // Otherwise the connection and its request stay reachable until the next one.
                    opened = null;
                    callback.completed(connection);
                }

                @Override
                public void failed(IOException e) {
                    callback.failed(e);
                }
            };
        }

        @Override
        public IoFuture<StreamConnection> openStreamConnection(
                SocketAddress address,
                ChannelListener<? super StreamConnection> listener,
                OptionMap options) {
            return thread.openStreamConnection(
                    address,
                    connection -> {
                        opened = AnswerFraming.install(connection);
                        listener.handleEvent(connection);
                    },
                    options);
        }

        @Override
        public void execute(Runnable command) {
            thread.execute(command);
        }

        @Override
        public Key executeAfter(Runnable command, long time, TimeUnit unit) {
            return thread.executeAfter(command, time, unit);
        }

        @Override
        public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
            return thread.executeAtInterval(command, time, unit);
        }
    }
}
