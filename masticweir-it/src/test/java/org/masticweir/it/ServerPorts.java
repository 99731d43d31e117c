package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses ports for servers that start later, and start again at the same port.
 *
 * <p>They lie below the ports that the system gives to outgoing connections and to servers that
 * take any. A port out of those may be given away between the choice and the start, which shows as
 * a server that can't open its port.
 */
final class ServerPorts {
    private static final int FIRST = 12_000;
    private static final int LAST = 31_000;
    private static final int TRIES = 1_000;

    /** Begins anywhere, so that test runs at the same time rarely meet. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(LAST - FIRST));

    private ServerPorts() {}

    /** Returns {@code count} ports that nothing listens on, and that were not returned before. */
    static ImmutableList<Integer> choose(int count) {
        ImmutableList.Builder<Integer> ports = ImmutableList.builder();
        int found = 0;
        for (int i = 0; found < count && i < TRIES; i++) {
            int port = FIRST + NEXT.getAndIncrement() % (LAST - FIRST);
            if (isFree(port)) {
                ports.add(port);
                found++;
            }
        }
        if (found < count) {
            throw new AssertionError("no " + count + " free ports in " + TRIES);
        }
        return ports.build();
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
