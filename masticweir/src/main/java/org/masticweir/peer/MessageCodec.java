package org.masticweir.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads one message type; implementations are stateless and thread-safe.
 *
 * <p>A codec writes its fields as one MessagePack array and reads them through {@link Fields}, so
 * that fields which a newer version appends are skipped by an older one.
 */
public interface MessageCodec<T extends PeerMessage> {
    /** Returns the number that names the type on the wire; at least {@link #FIRST_FREE_TYPE}. */
    int type();

    Class<T> messageType();

    void encode(T message, MessagePacker out) throws IOException;

    /** Reads one message; any exception it throws closes the link as malformed. */
    T decode(MessageUnpacker in) throws IOException;

    /** The lowest type number that is not kept for the links themselves. */
    int FIRST_FREE_TYPE = 16;
}
