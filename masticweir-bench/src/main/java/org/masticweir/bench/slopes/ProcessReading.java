package org.masticweir.bench.slopes;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the kernel tells of one process; immutable.
 *
 * @param cpuMs processor time since its start
 * @param rssKb resident memory now
 * @param readBytes read since its start, sockets included
 * @param writtenBytes written since its start, sockets included
 */
record ProcessReading(long cpuMs, long rssKb, long readBytes, long writtenBytes) {
    /** The kernel's tick for user space, the same on all Linux machines in use. */
    private static final long TICK_MS = 10;

    /** Places in /proc/PID/stat, counted after the command's closing parenthesis. */
    private static final int USER_TICKS = 11;

    private static final int SYSTEM_TICKS = 12;

    private static final Splitter BY_SPACE = Splitter.on(' ').omitEmptyStrings();

    /** Reads the process now. */
    static ProcessReading of(long pid) {
        String stat = text(pid, "stat");
        List<String> fields = BY_SPACE.splitToList(stat.substring(stat.lastIndexOf(')') + 1));
        long ticks =
                Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS));
        String io = text(pid, "io");
        return new ProcessReading(
                ticks * TICK_MS,
                figure(text(pid, "status"), "VmRSS:"),
                figure(io, "rchar:"),
                figure(io, "wchar:"));
    }

    private static long figure(String text, String key) {
        String line = text.lines().filter(l -> l.startsWith(key)).findFirst().orElseThrow();
        return Long.parseLong(CharMatcher.inRange('0', '9').retainFrom(line));
    }

    private static String text(long pid, String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
