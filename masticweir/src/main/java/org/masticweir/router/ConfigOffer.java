package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Optional;
import org.masticweir.config.DocumentEdit;
import org.masticweir.config.DocumentEditCodec;
import org.masticweir.config.HistoryEntry;
import org.masticweir.config.OfferedRevision;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Answers a {@link ConfigAsk}; empty when the peer holds nothing higher. */
record ConfigOffer(Optional<OfferedRevision> offered) implements PeerMessage {
    private static final int FIELDS = 1;
    private static final int OFFER_FIELDS = 7;
    private static final int REQUIRED_OFFER_FIELDS = 6;
    private static final int MAX_NAME_BYTES = 1024;
    private static final int MAX_DOCUMENT_BYTES = 1 << 20;

    /** What may be absent is a list of none or one. */
    static final MessageCodec<ConfigOffer> CODEC =
            FieldsCodec.of(
                    MessageTypes.CONFIG_OFFER,
                    ConfigOffer.class,
                    FIELDS,
                    (m, out) -> {
                        out.packArrayHeader(m.offered.isPresent() ? 1 : 0);
                        if (m.offered.isPresent()) {
                            encode(m.offered.get(), out);
                        }
                    },
                    f -> new ConfigOffer(f.list(1, ConfigOffer::offer).stream().findFirst()));

    ConfigOffer {
        checkNotNull(offered, "offered");
    }

    private static void encode(OfferedRevision m, MessagePacker out) throws IOException {
        HistoryEntry entry = m.entry();
        out.packArrayHeader(OFFER_FIELDS).packLong(entry.revision());
        out.packString(entry.changeId()).packString(entry.author()).packLong(entry.atMs());
        out.packArrayHeader(m.document().isPresent() ? 1 : 0);
        if (m.document().isPresent()) {
            out.packString(m.document().get());
        }
        out.packArrayHeader(0);
        out.packArrayHeader(m.edit().isPresent() ? 1 : 0);
        if (m.edit().isPresent()) {
            DocumentEditCodec.encode(m.edit().get(), out);
        }
    }

    private static OfferedRevision offer(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, REQUIRED_OFFER_FIELDS)) {
            HistoryEntry entry =
                    new HistoryEntry(
                            f.int64(), f.text(MAX_NAME_BYTES), f.text(MAX_NAME_BYTES), f.int64());
            Optional<String> document = f.list(1, ConfigOffer::text).stream().findFirst();
            Optional<DocumentEdit> olderEdit =
                    f.list(1, ConfigOffer::olderEdit).stream().findFirst();
            Optional<DocumentEdit> edit =
                    f.hasMore()
                            ? f.list(1, ConfigOffer::edit).stream().findFirst()
                            : Optional.empty();
            return new OfferedRevision(entry, document, edit.or(() -> olderEdit));
        }
    }

    private static String text(MessageUnpacker in) throws IOException {
        return Fields.text(in, MAX_DOCUMENT_BYTES);
    }

    private static DocumentEdit edit(MessageUnpacker in) throws IOException {
        return DocumentEditCodec.decode(in, MAX_DOCUMENT_BYTES);
    }

    /** Reads the edit of an older router as one that fits no text; the document is asked for. */
    private static DocumentEdit olderEdit(MessageUnpacker in) throws IOException {
        in.skipValue();
        return new DocumentEdit(ImmutableList.of(), "");
    }
}
