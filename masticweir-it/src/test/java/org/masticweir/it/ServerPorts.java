package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

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

    private ServerPorts() {}

    /** Returns {@code count} different ports that nothing listens on. */
    static ImmutableList<Integer> choose(int count) {
        int start = ThreadLocalRandom.current().nextInt(FIRST, LAST);
        ImmutableList.Builder<Integer> ports = ImmutableList.builder();
        int found = 0;
        for (int port = start; found < count && port < start + TRIES; port++) {
            if (isFree(port)) {
                ports.add(port);
                found++;
            }
        }
        if (found < count) {
            throw new AssertionError("no " + count + " free ports from " + start);
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
