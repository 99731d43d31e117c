package org.masticweir.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;
import javax.net.ssl.SSLException;

/**
 * A link's bytes under TLS; owned by the links' thread.
 *
 * <p>Between two calls it holds what came of an unfinished record and what the socket did not take.
 * Who does not finish the handshake in time is closed by the link's wait for the greeting; one that
 * sends more than {@link #MAX_HANDSHAKE_BYTES} before is refused, so that a stranger takes neither
 * a socket nor memory for long.
 */
final class SecureChannel implements LinkChannel {
    /** Most bytes taken before the handshake is finished; a chain of certificates fits. */
    static final int MAX_HANDSHAKE_BYTES = 64 * 1024;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);
    private static final int HANDSHAKE_RECORD = 0x16;
    private static final int ALERT_RECORD = 0x15;

    private final SocketChannel socket;
    private final SSLEngine engine;
    private final LinkTls tls;
    private final Runnable resume;
    private ByteBuffer unread = NOTHING;
    private ByteBuffer unsent = NOTHING;
    private int handshakeBytes;
    private boolean established;
    private boolean ended;
    private boolean busy;

    /**
     * Begins a handshake, which the calls of this channel carry on.
     *
     * @param resume has the link read and flush again, on the links' thread
     */
    SecureChannel(SocketChannel socket, LinkTls tls, boolean dialling, Runnable resume)
            throws SSLException {
        this.socket = socket;
        this.tls = tls;
        this.resume = resume;
        engine = tls.engine(dialling);
        engine.beginHandshake();
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (busy) {
            return 0;
        }
        ByteBuffer in = tls.received().put(unread);
        int n = socket.read(in);
        in.flip();
        checkHandshake(in, n);
        int before = to.position();
        boolean more = true;
        while (more) {
            more = step(in, to);
        }
        unread = kept(in);
        int got = to.position() - before;
        return got == 0 && (n < 0 || ended) ? endOf() : got;
    }

    private int endOf() throws SSLException {
        if (!established) {
            throw new SSLException("closed by peer in the handshake");
        }
        return END;
    }

    private void checkHandshake(ByteBuffer in, int n) throws SSLException {
        if (established || n <= 0) {
            return;
        }
        int first = in.get(0);
        if (handshakeBytes == 0 && first != HANDSHAKE_RECORD && first != ALERT_RECORD) {
            throw new SSLException("the peer does not speak it");
        }
        handshakeBytes += n;
        if (handshakeBytes > MAX_HANDSHAKE_BYTES) {
            throw new SSLException("handshake over " + MAX_HANDSHAKE_BYTES + " bytes");
        }
    }

    /** Takes the next step that the engine asks for; returns whether another may follow. */
    private boolean step(ByteBuffer in, ByteBuffer to) throws IOException {
        HandshakeStatus status = engine.getHandshakeStatus();
        if (status == HandshakeStatus.NEED_TASK) {
            runTasks();
            return false;
        }
        if (status == HandshakeStatus.NEED_WRAP) {
            return wrapHandshake();
        }
        return in.hasRemaining() && unwrap(in, to);
    }

    private boolean unwrap(ByteBuffer in, ByteBuffer to) throws IOException {
        SSLEngineResult result;
        try {
            result = engine.unwrap(in, to);
        } catch (SSLException e) {
            sendAlert();
            throw e;
        }
        noteEstablished();
        ended = result.getStatus() == Status.CLOSED;
        if (result.getStatus() == Status.BUFFER_OVERFLOW) {
            throw new SSLException("a record over the buffer");
        }
        boolean asks =
                result.getHandshakeStatus() == HandshakeStatus.NEED_TASK
                        || result.getHandshakeStatus() == HandshakeStatus.NEED_WRAP;
        return result.getStatus() == Status.OK && (asks || result.bytesConsumed() > 0);
    }

    /** Tells the peer why it is refused, as far as the socket takes it at once. */
    private void sendAlert() {
        try {
            if (engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP) {
                wrapHandshake();
            }
        } catch (IOException e) {
            // The fault that led here is thrown on and closes the link.
            unsent = NOTHING;
        }
    }

    private boolean wrapHandshake() throws IOException {
        if (unsent.hasRemaining()) {
            return false;
        }
        ByteBuffer out = tls.outgoing();
        SSLEngineResult result = engine.wrap(NOTHING.duplicate(), out);
        noteEstablished();
        send(out.flip());
        return result.getStatus() == Status.OK && !unsent.hasRemaining();
    }

    private void runTasks() {
        busy = true;
        tls.runTasks(
                engine,
                () -> {
                    busy = false;
                    resume.run();
                });
    }

    private void noteEstablished() {
        established |= engine.getHandshakeStatus() == HandshakeStatus.NOT_HANDSHAKING;
    }

    @Override
    public boolean flush() throws IOException {
        if (busy) {
            return false;
        }
        if (unsent.hasRemaining()) {
            send(unsent);
        }
        boolean more = !established && !unsent.hasRemaining();
        while (more) {
            more = step(NOTHING.duplicate(), NOTHING.duplicate());
        }
        return established && !busy && !unsent.hasRemaining();
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        int before = from.position();
        while (from.hasRemaining() && !unsent.hasRemaining()) {
            ByteBuffer out = tls.outgoing();
            SSLEngineResult result = engine.wrap(from, out);
            if (result.getStatus() != Status.OK) {
                throw new SSLException("state " + result.getStatus());
            }
            send(out.flip());
        }
        return from.position() - before;
    }

    private void send(ByteBuffer out) throws IOException {
        socket.write(out);
        unsent = kept(out);
    }

    /** Returns a copy of what remains, as the shared buffers serve the next link then. */
    private static ByteBuffer kept(ByteBuffer rest) {
        if (!rest.hasRemaining()) {
            return NOTHING.duplicate();
        }
        return ByteBuffer.allocate(rest.remaining()).put(rest).flip();
    }

    @Override
    public boolean holdsInput() {
        return !busy && unread.hasRemaining();
    }

    @Override
    public int interest(boolean drained) {
        if (busy) {
            return 0;
        }
        boolean writes = unsent.hasRemaining() || (established && !drained);
        return SelectionKey.OP_READ | (writes ? SelectionKey.OP_WRITE : 0);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
