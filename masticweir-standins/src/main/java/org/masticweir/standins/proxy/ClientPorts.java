package org.masticweir.standins.proxy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds the TCP ports that processes of this machine use, as Linux shows them; stateless.
 *
 * <p>By them the proxy tells which process a connection comes from, since all come from one
 * address.
 */
final class ClientPorts {
    private static final Logger LOG = LogManager.getLogger(ClientPorts.class);
    private static final ImmutableList<Path> TABLES =
            ImmutableList.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final Splitter COLUMNS = Splitter.on(' ').omitEmptyStrings().trimResults();
    private static final String SOCKET = "socket:[";
    private static final int LOCAL_ADDRESS = 1;
    private static final int INODE = 9;
    private static final int HEX = 16;

    private ClientPorts() {}

    /** Returns the local ports of all sockets that the processes {@code pids} have open. */
    static ImmutableSet<Integer> of(List<Long> pids) {
        checkNotNull(pids, "pids");
        Set<String> inodes = new HashSet<>();
        pids.forEach(pid -> addInodes(Path.of("/proc", Long.toString(pid), "fd"), inodes));
        ImmutableSet.Builder<Integer> ports = ImmutableSet.builder();
        for (Path table : TABLES) {
            try {
                for (String line : Iterables.skip(Files.readAllLines(table), 1)) {
                    addPort(COLUMNS.splitToList(line), inodes, ports);
                }
            } catch (IOException e) {
                LOG.warn("proxy: {} cannot be read, {}", table, e.getMessage());
            }
        }
        return ports.build();
    }

    private static void addInodes(Path files, Set<String> inodes) {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(files)) {
            for (Path file : all) {
                addInode(file, inodes);
            }
        } catch (IOException e) {
            // The process has died, and its connections with it.
            LOG.debug("proxy: {} cannot be read, {}", files, e.getMessage());
        }
    }

    private static void addInode(Path file, Set<String> inodes) {
        try {
            String link = Files.readSymbolicLink(file).toString();
            if (link.startsWith(SOCKET)) {
                inodes.add(link.substring(SOCKET.length(), link.length() - 1));
            }
        } catch (IOException e) {
            LOG.debug("proxy: {} was closed meanwhile, {}", file, e.getMessage());
        }
    }

    private static void addPort(
            List<String> columns, Set<String> inodes, ImmutableSet.Builder<Integer> ports) {
        if (columns.size() > INODE && inodes.contains(columns.get(INODE))) {
            String address = columns.get(LOCAL_ADDRESS);
            ports.add(Integer.parseInt(address.substring(address.indexOf(':') + 1), HEX));
        }
    }
}
