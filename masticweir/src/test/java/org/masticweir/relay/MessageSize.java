package org.masticweir.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encoded lengths of messages between routers. */
final class MessageSize {
    private static final List<MessageCodec<?>> CODECS = RelayMessages.codecs();

    private MessageSize() {}

    static long bytesOf(PeerMessage message) {
        return CODECS.stream()
                .filter(codec -> codec.messageType().isInstance(message))
                .mapToLong(codec -> bytesOf(codec, message))
                .findFirst()
                .orElseThrow();
    }

    private static <T extends PeerMessage> long bytesOf(MessageCodec<T> codec, PeerMessage m) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            codec.encode(codec.messageType().cast(m), out);
            return out.getTotalWrittenBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
