package org.masticweir.engine;

import org.masticweir.generation.Frame;

/**
 * Hears one engine stream; called on the stream's I/O thread, at most one end call at the last.
 *
 * <p>The end calls are {@link #refused}, {@link #unknown} and {@link #lost}; a whole stream ends
 * with an {@code End} frame and none of them.
 */
public interface StreamListener {
    void frame(Frame frame);

    /** The engine refused before admission; it did not run there. */
    void refused(long retryAfterMs);

    /** The engine does not know the generation that was to be read again. */
    void unknown();

    /**
     * The stream broke before its end frame.
     *
     * @param sent whether the engine may have got the request
     */
    void lost(boolean sent);
}
