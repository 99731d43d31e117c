package org.masticweir.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The record of one run, a line an event with the time since its start; thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    private Record(PrintWriter out) {
        this.out = out;
    }

    static Record create(Path file) throws IOException {
        return new Record(new PrintWriter(Files.newBufferedWriter(file)));
    }

    synchronized void add(String who, String what) {
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        out.printf("%6d ms  %-8s %s%n", ms, who, what);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
