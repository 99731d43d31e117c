package org.masticweir.peer;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** What a link reads frames from and writes them to; owned by the links' thread. */
interface LinkChannel extends Closeable {
    /** What {@link #read} returns once the other side has closed. */
    int END = -1;

    /** Reads what is there into {@code to}; returns how many bytes that were, or {@link #END}. */
    int read(ByteBuffer to) throws IOException;

    /** Takes bytes from {@code from}; returns how many, fewer than all when there is no room. */
    int write(ByteBuffer from) throws IOException;

    /** Moves on what the channel itself has to send; returns whether {@link #write} may follow. */
    boolean flush() throws IOException;

    /** Tells whether bytes were read that a {@link #read} without new ones may turn to frames. */
    boolean holdsInput();

    /**
     * Returns the operations of a selection key to wait for.
     *
     * @param drained whether all that was to be written was taken
     */
    int interest(boolean drained);
}
