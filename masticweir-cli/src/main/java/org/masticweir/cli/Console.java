package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.PrintStream;

/**
 * Where a command writes: results to {@code out}, what went wrong to {@code err}.
 *
 * @param json whether results are the raw JSON for scripts
 */
record Console(PrintStream out, PrintStream err, boolean json) {
    private static final String PREFIX = "masticweir: ";

    Console {
        checkNotNull(out, "out");
        checkNotNull(err, "err");
    }

    /** Prints a result; an empty one prints nothing. */
    void result(String text) {
        if (!text.isEmpty()) {
            out.println(text.stripTrailing());
        }
    }

    /** Prints why a command failed and returns its exit code. */
    ExitCode failed(ExitCode exit, String sentence) {
        sentence.lines().forEach(line -> err.println(PREFIX + line));
        return exit;
    }
}
