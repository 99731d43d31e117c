package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.masticweir.http.IpAddress;

/**
 * An engine stand-in that the bench may kill.
 *
 * @param process its process id, or {@code @} and the file that holds it, for an engine that a
 *     script starts again under a new id
 */
public record EngineProcess(
        String id, String domain, String group, InetSocketAddress address, String process) {
    private static final int PARTS = 5;

    /** Reads {@code id,domain,group,ip:port,pid}. */
    public static EngineProcess parse(String text) {
        List<String> parts = Splitter.on(',').splitToList(text);
        checkArgument(parts.size() == PARTS, "%s is not id,domain,group,ip:port,pid", text);
        InetSocketAddress address = IpAddress.parse(parts.get(3));
        return new EngineProcess(parts.get(0), parts.get(1), parts.get(2), address, parts.get(4));
    }

    /** Returns the id of the process that runs now. */
    public long pid() {
        return Long.parseLong(process.startsWith("@") ? read(process.substring(1)) : process);
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the process at once, as a power cut would. */
    public void kill() {
        ProcessHandle.of(pid()).ifPresent(ProcessHandle::destroyForcibly);
    }
}
