package org.masticweir.bench;

/** One command of the bench; JCommander fills its fields. */
public interface BenchCommand {
    /** Returns the word that selects this command. */
    String name();

    /** Runs to the end and returns the exit code: 0 when what it checked holds, else 1. */
    int run();
}
