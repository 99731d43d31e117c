package org.masticweir.bench.path;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Processor time of a JVM's threads but for those of its compilers.
 *
 * <p>On a busy machine the compilers work for minutes after a start, and would pass for the cost of
 * tokens.
 */
final class WorkTime {
    /** The kernel's tick for user space, the same on all Linux machines in use. */
    private static final long TICK_MS = 10;

    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;

    private WorkTime() {}

    /** Returns the time used so far by the live threads of process {@code pid}. */
    static long ofMs(long pid) {
        Path tasks = Path.of("/proc", Long.toString(pid), "task");
        try (Stream<Path> threads = Files.list(tasks)) {
            return threads.mapToLong(t -> stat(t.resolve("stat"))).sum() * TICK_MS;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long stat(Path file) {
        try {
            return ticks(Files.readString(file));
        } catch (NoSuchFileException e) {
            // The thread ended after the list was read.
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the ticks in one line of {@code stat}; none for a compiler's thread. */
    static long ticks(String stat) {
        int nameEnd = stat.lastIndexOf(')');
        String name = stat.substring(stat.indexOf('(') + 1, nameEnd);
        if (name.startsWith("C1 Compiler") || name.startsWith("C2 Compiler")) {
            return 0;
        }
        List<String> fields = List.of(stat.substring(nameEnd + 1).trim().split(" "));
        return Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS));
    }
}
