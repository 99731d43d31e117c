package org.masticweir.standins.engine;

/** Whoever reads a sequence's stream; its calls return at once and may come from any thread. */
interface StreamReader {
    /** Says that there may be more to read. */
    void wake();

    /** Closes the stream without an end frame. */
    void drop();
}
