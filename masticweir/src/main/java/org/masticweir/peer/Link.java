package org.masticweir.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.masticweir.error.MasticweirException;

/** One TCP connection and its frames; owned by the links' thread. */
final class Link implements LinkLoop.Ready {
    /** Reason of a link that the other side closed in order. */
    static final String CLOSED_BY_PEER = "closed by peer";

    private final LinkLoop loop;
    private final SocketChannel socket;
    private final LinkChannel channel;
    private final Owner owner;
    private final FrameDecoder decoder = new FrameDecoder();
    private Outbox outbox;
    private SelectionKey key;
    private boolean connected;
    private boolean closed;

    private Link(
            LinkContext context, SocketChannel socket, boolean dialling, Outbox outbox, Owner owner)
            throws IOException {
        loop = context.loop();
        this.socket = socket;
        channel =
                context.tls().isPresent()
                        ? new SecureChannel(socket, context.tls().get(), dialling, this::resume)
                        : new PlainChannel(socket);
        this.outbox = outbox;
        this.owner = owner;
    }

    /** Starts to connect; call {@link #flush} next, as the connection may stand already. */
    static Link dial(LinkContext context, InetSocketAddress to, Outbox outbox, Owner owner)
            throws IOException {
        SocketChannel ch = SocketChannel.open();
        try {
            Link link = new Link(context, prepared(ch), true, outbox, owner);
            link.connected = ch.connect(to);
            int ops = link.connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
            link.key = context.loop().register(ch, ops, link);
            return link;
        } catch (IOException | RuntimeException e) {
            ch.close();
            throw e;
        }
    }

    static Link accepted(LinkContext context, SocketChannel ch, Outbox outbox, Owner owner)
            throws IOException {
        try {
            Link link = new Link(context, prepared(ch), false, outbox, owner);
            link.connected = true;
            link.key = context.loop().register(ch, SelectionKey.OP_READ, link);
            return link;
        } catch (IOException | RuntimeException e) {
            ch.close();
            throw e;
        }
    }

    private static SocketChannel prepared(SocketChannel ch) throws IOException {
        ch.configureBlocking(false);
        ch.setOption(StandardSocketOptions.TCP_NODELAY, true);
        ch.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        return ch;
    }

    @Override
    public void ready(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                finishConnect();
            } else {
                if (ready.isWritable()) {
                    flush();
                }
                if (!closed && (ready.isReadable() || channel.holdsInput())) {
                    read();
                }
                if (!closed && ready.isWritable()) {
                    // The socket was full: room in it shows that the peer took bytes.
                    owner.alive(this);
                }
                flush();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    /** Goes on after the channel's own work on another thread. */
    private void resume() {
        if (closed) {
            return;
        }
        try {
            read();
            flush();
        } catch (IOException e) {
            fail(e);
        }
    }

    private void fail(IOException e) {
        boolean tls = e instanceof SSLException;
        if (tls) {
            owner.malformed(this);
        }
        close((tls ? "TLS: " : "") + e.getMessage());
    }

    private void finishConnect() throws IOException {
        socket.finishConnect();
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        flush();
    }

    private void read() throws IOException {
        ByteBuffer in = loop.scratch();
        if (channel.read(in) == LinkChannel.END) {
            close(CLOSED_BY_PEER);
            return;
        }
        if (in.position() == 0) {
            return;
        }
        owner.alive(this);
        // A frame's handler may write and so reuse the scratch buffer: work on a copy.
        byte[] bytes = new byte[in.flip().remaining()];
        in.get(bytes);
        deliver(ByteBuffer.wrap(bytes));
    }

    private void deliver(ByteBuffer in) {
        try {
            Optional<byte[]> body = decoder.next(in);
            while (body.isPresent() && !closed) {
                owner.frame(this, body.get());
                body = decoder.next(in);
            }
        } catch (MasticweirException e) {
            owner.malformed(this);
            close(e.getMessage());
        }
    }

    /** Makes {@code next} the queue to write from; the earlier one must be empty. */
    void use(Outbox next) {
        outbox = next;
        flush();
    }

    /** Writes what the socket takes and waits for room for the rest. */
    void flush() {
        if (closed || !connected) {
            return;
        }
        try {
            boolean drained = write();
            int ops = channel.interest(drained);
            if (key.interestOps() != ops) {
                key.interestOps(ops);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private boolean write() throws IOException {
        if (!channel.flush()) {
            return false;
        }
        while (!outbox.isEmpty()) {
            ByteBuffer out = loop.scratch();
            outbox.copyTo(out);
            int wanted = out.flip().remaining();
            int n = channel.write(out);
            outbox.written(n);
            if (n < wanted) {
                return false;
            }
        }
        return true;
    }

    /** Returns the other side's address, or a note that it has none any more. */
    String remote() {
        return String.valueOf(socket.socket().getRemoteSocketAddress());
    }

    boolean isClosed() {
        return closed;
    }

    /** Closes the connection and tells the owner, once. */
    void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // The connection is gone either way, and the owner hears of that below.
            connected = false;
        }
        owner.closed(this, reason);
    }

    /** Hears what happens on a link, on the links' thread. */
    interface Owner {
        /** Takes one frame's body; a MasticweirException closes the link as malformed. */
        void frame(Link link, byte[] body);

        void malformed(Link link);

        /** Hears that the peer gave a sign of life: it sent bytes, or took some after a stop. */
        void alive(Link link);

        void closed(Link link, String reason);
    }
}
