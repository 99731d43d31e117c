package org.masticweir.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Hears one {@link HttpStream}; called on its I/O thread.
 *
 * <p>The last call is {@link #end} or {@link #lost}, and there is none after a close.
 */
public interface HttpStreamListener {
    /** The answer's status and header fields came. */
    void head(HttpHead head);

    /**
     * Bytes of the answer's body came. Those that are left are passed again, before any that
     * follow, once other connections of the thread had their turn: a listener limits its work so.
     *
     * @throws IOException if they are malformed; the stream is then lost
     */
    void bytes(ByteBuffer part) throws IOException;

    /** The body ended as HTTP says it should. */
    void end();

    /**
     * The stream could not be opened or broke.
     *
     * @param sent whether the server may have got the request
     */
    void lost(boolean sent);
}
