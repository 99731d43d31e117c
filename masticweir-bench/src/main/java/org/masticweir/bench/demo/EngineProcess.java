package org.masticweir.bench.demo;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import org.masticweir.bench.IpAddress;

/**
 * An engine stand-in that the demo may kill.
 *
 * @param pid its process id
 */
record EngineProcess(String id, String domain, String group, InetSocketAddress address, long pid) {
    private static final int PARTS = 5;

    /** Reads {@code id,domain,group,ip:port,pid}. */
    static EngineProcess parse(String text) {
        String[] parts = text.split(",");
        checkArgument(parts.length == PARTS, "%s is not id,domain,group,ip:port,pid", text);
        return new EngineProcess(
                parts[0], parts[1], parts[2], IpAddress.parse(parts[3]), Long.parseLong(parts[4]));
    }

    /** Ends the process at once, as a power cut would. */
    void kill() {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }
}
