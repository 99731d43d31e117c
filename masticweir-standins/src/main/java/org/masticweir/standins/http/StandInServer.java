package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.http.IpAddress;

/** An HTTP server with few threads and small buffers, since dozens run on one machine. */
public final class StandInServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final int BUFFER_BYTES = 4096;
    private static final long MAX_BODY_BYTES = 4L << 20;

    private final Undertow undertow;

    private StandInServer(Undertow undertow) {
        this.undertow = undertow;
    }

    /** Listens on {@code listen}; throws {@code SETTINGS_INVALID} when that cannot be had. */
    public static StandInServer start(InetSocketAddress listen, HttpHandler handler) {
        checkNotNull(listen, "listen");
        checkNotNull(handler, "handler");
        Undertow undertow =
                Undertow.builder()
                        .addHttpListener(listen.getPort(), listen.getHostString())
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setBufferSize(BUFFER_BYTES)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(ErrorHandler.of(handler))
                        .build();
        try {
            undertow.start();
        } catch (RuntimeException e) {
            undertow.stop();
            String text = "cannot listen on " + IpAddress.text(listen) + ": " + reason(e);
            throw MasticweirException.causedBy(
                    ErrorCode.SETTINGS_INVALID, Verdict.NOT_RUN, text, e);
        }
        return new StandInServer(undertow);
    }

    private static String reason(RuntimeException e) {
        return e.getCause() == null ? e.getMessage() : e.getCause().getMessage();
    }

    /** Returns the address in use, with the real port when port 0 was asked for. */
    public InetSocketAddress address() {
        return (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
    }

    /** Prints the line that tells whoever started this process that it serves. */
    public void printReady(String kind, String id) {
        System.out.println("ready " + kind + " " + id + " " + IpAddress.text(address()));
    }

    @Override
    public void close() {
        undertow.stop();
    }
}
