package org.masticweir.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run in one case, with times since its start; thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String line) {
        out.printf("%7d ms  %s%n", (System.nanoTime() - startNs) / 1_000_000, line);
    }

    @Override
    public void close() {
        out.close();
    }
}
