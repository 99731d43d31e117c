package org.masticweir.peer;

import java.nio.ByteBuffer;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;

/**
 * What all links under TLS share: the context, two buffers and the thread of handshakes.
 *
 * <p>Both sides show a certificate and check the other's. The buffers are for the links' thread,
 * which uses one link at a time, so that an idle link holds none. Handshakes compute on a thread of
 * their own: after a restart a router makes a hundred of them, and other links' tokens must not
 * wait for that.
 */
final class LinkTls implements AutoCloseable {
    private static final String[] PROTOCOLS = {"TLSv1.3"};

    /** Less than {@link LinkLoop}'s buffer, so that what was read fits it when decrypted. */
    private static final int RECEIVE_BYTES = 48 * 1024;

    /** Holds any record. */
    private static final int SEND_BYTES = 48 * 1024;

    private final SSLContext context;
    private final LinkLoop loop;
    private final ByteBuffer received = ByteBuffer.allocateDirect(RECEIVE_BYTES);
    private final ByteBuffer outgoing = ByteBuffer.allocateDirect(SEND_BYTES);
    private final ExecutorService handshakes;

    LinkTls(SSLContext context, LinkLoop loop, String threadName) {
        this.context = context;
        this.loop = loop;
        handshakes =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread t = new Thread(task, threadName);
                            t.setDaemon(true);
                            return t;
                        });
    }

    /**
     * Returns an engine for one connection.
     *
     * <p>It is not told the peer's address, so that no session is taken up again: each connection
     * has both certificates checked against the files as they are then.
     */
    SSLEngine engine(boolean dialling) {
        SSLEngine engine = context.createSSLEngine();
        engine.setUseClientMode(dialling);
        engine.setEnabledProtocols(PROTOCOLS);
        if (!dialling) {
            engine.setNeedClientAuth(true);
        }
        return engine;
    }

    /** Returns the buffer for bytes from a socket, cleared. */
    ByteBuffer received() {
        return received.clear();
    }

    /** Returns the buffer for bytes to a socket, cleared. */
    ByteBuffer outgoing() {
        return outgoing.clear();
    }

    /** Runs the tasks of {@code engine} on the handshakes' thread, then {@code after} on links'. */
    void runTasks(SSLEngine engine, Runnable after) {
        handshakes.execute(
                () -> {
                    try {
                        Runnable task = engine.getDelegatedTask();
                        while (task != null) {
                            task.run();
                            task = engine.getDelegatedTask();
                        }
                    } finally {
                        loop.execute(after);
                    }
                });
    }

    @Override
    public void close() {
        handshakes.shutdownNow();
    }
}
