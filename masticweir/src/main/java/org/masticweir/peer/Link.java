package org.masticweir.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.masticweir.error.MasticweirException;

/** One TCP connection and its frames; owned by the links' thread. */
final class Link implements LinkLoop.Ready {
    private final LinkLoop loop;
    private final SocketChannel channel;
    private final Owner owner;
    private final FrameDecoder decoder = new FrameDecoder();
    private Outbox outbox;
    private SelectionKey key;
    private boolean connected;
    private boolean closed;

    private Link(LinkLoop loop, SocketChannel channel, Outbox outbox, Owner owner) {
        this.loop = loop;
        this.channel = channel;
        this.outbox = outbox;
        this.owner = owner;
    }

    /** Starts to connect; call {@link #flush} next, as the connection may stand already. */
    static Link dial(LinkLoop loop, InetSocketAddress to, Outbox outbox, Owner owner)
            throws IOException {
        SocketChannel ch = SocketChannel.open();
        try {
            Link link = new Link(loop, prepared(ch), outbox, owner);
            link.connected = ch.connect(to);
            int ops = link.connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
            link.key = loop.register(ch, ops, link);
            return link;
        } catch (IOException | RuntimeException e) {
            ch.close();
            throw e;
        }
    }

    static Link accepted(LinkLoop loop, SocketChannel ch, Outbox outbox, Owner owner)
            throws IOException {
        Link link = new Link(loop, prepared(ch), outbox, owner);
        link.connected = true;
        link.key = loop.register(ch, SelectionKey.OP_READ, link);
        return link;
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
                if (ready.isReadable()) {
                    read();
                }
                if (!closed && ready.isWritable()) {
                    // The socket was full: room in it shows that the peer took bytes.
                    owner.alive(this);
                }
                flush();
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        }
    }

    private void finishConnect() throws IOException {
        channel.finishConnect();
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        flush();
    }

    private void read() throws IOException {
        ByteBuffer in = loop.scratch();
        if (channel.read(in) < 0) {
            close("closed by peer");
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
            int ops = SelectionKey.OP_READ | (drained ? 0 : SelectionKey.OP_WRITE);
            if (key.interestOps() != ops) {
                key.interestOps(ops);
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        }
    }

    private boolean write() throws IOException {
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
