package org.masticweir.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A link's bytes as the socket carries them; owned by the links' thread. */
final class PlainChannel implements LinkChannel {
    private final SocketChannel socket;

    PlainChannel(SocketChannel socket) {
        this.socket = socket;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return socket.read(to);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        return socket.write(from);
    }

    @Override
    public boolean flush() {
        return true;
    }

    @Override
    public boolean holdsInput() {
        return false;
    }

    @Override
    public int interest(boolean drained) {
        return SelectionKey.OP_READ | (drained ? 0 : SelectionKey.OP_WRITE);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
