package org.masticweir.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the log lines of files, or of an input where no file is named; stateless. */
final class LogLines {
    private LogLines() {}

    /** Takes the lines of one log after another. */
    interface Taker {
        /** The lines that follow are of another log. */
        default void begin() {}

        void take(String line);
    }

    static void read(List<String> files, InputStream input, Taker taker) throws IOException {
        if (files.isEmpty()) {
            read(input, taker);
        }
        for (String file : files) {
            try (InputStream from = Files.newInputStream(Path.of(file))) {
                read(from, taker);
            }
        }
    }

    /** Bytes that are no text are replaced, so that one bad line hides no other. */
    private static void read(InputStream from, Taker taker) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8));
        taker.begin();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            taker.take(line);
        }
    }
}
