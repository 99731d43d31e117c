package org.masticweir.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Relays TCP connections to one address and, while stalled, keeps them open and passes nothing, as
 * a network that drops packets does.
 */
final class StallingRelay implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress to;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private boolean stalled;
    private int accepted;

    private StallingRelay(InetSocketAddress to) throws IOException {
        this.to = to;
    }

    static StallingRelay to(InetSocketAddress address) throws IOException {
        StallingRelay relay = new StallingRelay(address);
        start(relay::accept);
        return relay;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    synchronized void stall(boolean now) {
        stalled = now;
        notifyAll();
    }

    /** Returns how many connections were opened to it so far. */
    synchronized int accepted() {
        return accepted;
    }

    private void accept() throws IOException {
        while (true) {
            Socket in = server.accept();
            synchronized (this) {
                accepted++;
            }
            Socket out = new Socket(to.getAddress(), to.getPort());
            open.addAll(List.of(in, out));
            start(() -> pump(in, out));
            start(() -> pump(out, in));
        }
    }

    private void pump(Socket from, Socket into) throws IOException {
        byte[] bytes = new byte[8192];
        try (from;
                into) {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            int n = in.read(bytes);
            while (n >= 0) {
                awaitPass();
                out.write(bytes, 0, n);
                n = in.read(bytes);
            }
            awaitPass();
        }
    }

    private synchronized void awaitPass() {
        try {
            while (stalled) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Step step) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // Either side closed the connection, or the test ended.
                                return;
                            }
                        });
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : open) {
            s.close();
        }
        stall(false);
    }

    /** Work of one thread. */
    private interface Step {
        void run() throws IOException;
    }
}
