package org.masticweir.recovery.copy;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads one copy message as an array of a fixed count of fields; immutable. */
final class CopyMessageCodec<T extends CopyMessage> implements MessageCodec<T> {
    private final int type;
    private final Class<T> messageType;
    private final int fields;
    private final Writer<T> writer;
    private final Reader<T> reader;

    private CopyMessageCodec(
            int type, Class<T> messageType, int fields, Writer<T> writer, Reader<T> reader) {
        this.type = type;
        this.messageType = messageType;
        this.fields = fields;
        this.writer = writer;
        this.reader = reader;
    }

    /** Returns the codec of messages whose {@code fields} the writer writes in order. */
    static <T extends CopyMessage> CopyMessageCodec<T> of(
            int type, Class<T> messageType, int fields, Writer<T> writer, Reader<T> reader) {
        return new CopyMessageCodec<>(type, messageType, fields, writer, reader);
    }

    @Override
    public int type() {
        return type;
    }

    @Override
    public Class<T> messageType() {
        return messageType;
    }

    @Override
    public void encode(T message, MessagePacker out) throws IOException {
        out.packArrayHeader(fields);
        writer.write(message, out);
    }

    @Override
    public T decode(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, fields)) {
            return reader.read(f);
        }
    }

    /** Writes the fields of one message. */
    @FunctionalInterface
    interface Writer<T> {
        void write(T message, MessagePacker out) throws IOException;
    }

    /** Reads the fields of one message. */
    @FunctionalInterface
    interface Reader<T> {
        T read(Fields f) throws IOException;
    }
}
