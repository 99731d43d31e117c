package org.masticweir.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads one message as an array of a fixed count of fields; immutable. */
public final class FieldsCodec<T extends PeerMessage> implements MessageCodec<T> {
    private final int type;
    private final Class<T> messageType;
    private final int fields;
    private final int required;
    private final Writer<T> writer;
    private final Reader<T> reader;

    private FieldsCodec(
            int type,
            Class<T> messageType,
            int fields,
            int required,
            Writer<T> writer,
            Reader<T> reader) {
        this.type = type;
        this.messageType = messageType;
        this.fields = fields;
        this.required = required;
        this.writer = writer;
        this.reader = reader;
    }

    /** Returns the codec of messages whose {@code fields} the writer writes in order. */
    public static <T extends PeerMessage> FieldsCodec<T> of(
            int type, Class<T> messageType, int fields, Writer<T> writer, Reader<T> reader) {
        return of(type, messageType, fields, fields, writer, reader);
    }

    /**
     * Returns the codec of messages whose last fields older routers do not send.
     *
     * @param required fields that all routers send; the reader asks {@link Fields#hasMore} before
     *     each one after them
     */
    public static <T extends PeerMessage> FieldsCodec<T> of(
            int type,
            Class<T> messageType,
            int fields,
            int required,
            Writer<T> writer,
            Reader<T> reader) {
        return new FieldsCodec<>(type, messageType, fields, required, writer, reader);
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
        try (Fields f = Fields.open(in, required)) {
            return reader.read(f);
        }
    }

    /** Writes the fields of one message. */
    @FunctionalInterface
    public interface Writer<T> {
        void write(T message, MessagePacker out) throws IOException;
    }

    /** Reads the fields of one message. */
    @FunctionalInterface
    public interface Reader<T> {
        T read(Fields f) throws IOException;
    }
}
