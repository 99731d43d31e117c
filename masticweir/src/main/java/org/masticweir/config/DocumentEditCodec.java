package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import org.masticweir.config.DocumentEdit.Part;
import org.masticweir.peer.Fields;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes edits of a document for other routers and reads theirs; stateless and thread-safe. */
public final class DocumentEditCodec {
    private static final int EDIT_FIELDS = 2;
    private static final int KEPT_FIELDS = 2;
    private static final int ADDED_FIELDS = 1;
    private static final int MAX_PARTS = 1 << 16;
    private static final int MAX_DIGEST_BYTES = 128;

    private DocumentEditCodec() {}

    /** Writes {@code edit} as one MessagePack array. */
    public static void encode(DocumentEdit edit, MessagePacker out) throws IOException {
        out.packArrayHeader(EDIT_FIELDS).packArrayHeader(edit.parts().size());
        for (Part part : edit.parts()) {
            encode(part, out);
        }
        out.packString(edit.digest());
    }

    private static void encode(Part part, MessagePacker out) throws IOException {
        if (part instanceof Part.Kept kept) {
            out.packArrayHeader(KEPT_FIELDS).packInt(kept.start()).packInt(kept.end());
        } else if (part instanceof Part.Added added) {
            out.packArrayHeader(ADDED_FIELDS).packString(added.text());
        }
    }

    /** Reads an edit, each text of which has at most {@code maxTextBytes} in UTF-8. */
    public static DocumentEdit decode(MessageUnpacker in, int maxTextBytes) throws IOException {
        try (Fields f = Fields.open(in, EDIT_FIELDS)) {
            return new DocumentEdit(
                    f.list(MAX_PARTS, item -> part(item, maxTextBytes)), f.text(MAX_DIGEST_BYTES));
        }
    }

    private static Part part(MessageUnpacker in, int maxTextBytes) throws IOException {
        int fields = in.unpackArrayHeader();
        if (fields == ADDED_FIELDS) {
            return new Part.Added(Fields.text(in, maxTextBytes));
        }
        checkArgument(fields == KEPT_FIELDS, "part of %s fields", fields);
        return new Part.Kept(in.unpackInt(), in.unpackInt());
    }
}
