package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.masticweir.config.DocumentEdit;
import org.masticweir.config.DocumentEditCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** An edit of the catalog's text, compressed for the links between routers; immutable. */
final class PackedEdit {
    /** Longest edit after decompression, in bytes; the same bound as for a catalog. */
    private static final int MAX_BYTES = RelayMessages.MAX_CATALOG_BYTES;

    private final byte[] bytes;

    private PackedEdit(byte[] bytes) {
        this.bytes = bytes;
    }

    static PackedEdit of(DocumentEdit edit) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
                OutputStream out = new DeflaterOutputStream(packed)) {
            DocumentEditCodec.encode(edit, packer);
            packer.flush();
            out.write(packer.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new PackedEdit(packed.toByteArray());
    }

    /** Returns an edit as received from a peer; {@link #unpack} parses it. */
    static PackedEdit ofBytes(byte[] bytes) {
        return new PackedEdit(checkNotNull(bytes, "bytes").clone());
    }

    /**
     * Decompresses and parses the edit.
     *
     * @throws IllegalArgumentException if the bytes are not a valid edit
     */
    DocumentEdit unpack() {
        try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes));
                MessageUnpacker unpacker =
                        MessagePack.newDefaultUnpacker(ByteStreams.limit(in, MAX_BYTES))) {
            return DocumentEditCodec.decode(unpacker, MAX_BYTES);
        } catch (IOException | RuntimeException e) {
            throw new IllegalArgumentException("invalid edit: " + e.getMessage(), e);
        }
    }

    byte[] bytes() {
        return bytes.clone();
    }

    int length() {
        return bytes.length;
    }
}
