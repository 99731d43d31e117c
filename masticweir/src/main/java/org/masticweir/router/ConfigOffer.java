package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.util.Optional;
import org.masticweir.config.DocumentEdit;
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
    private static final int OFFER_FIELDS = 6;
    private static final int EDIT_FIELDS = 4;
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
        out.packArrayHeader(m.edit().isPresent() ? 1 : 0);
        if (m.edit().isPresent()) {
            DocumentEdit e = m.edit().get();
            out.packArrayHeader(EDIT_FIELDS).packInt(e.head()).packInt(e.tail());
            out.packString(e.middle()).packString(e.digest());
        }
    }

    private static OfferedRevision offer(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, OFFER_FIELDS)) {
            HistoryEntry entry =
                    new HistoryEntry(
                            f.int64(), f.text(MAX_NAME_BYTES), f.text(MAX_NAME_BYTES), f.int64());
            return new OfferedRevision(
                    entry,
                    f.list(1, ConfigOffer::text).stream().findFirst(),
                    f.list(1, ConfigOffer::edit).stream().findFirst());
        }
    }

    private static String text(MessageUnpacker in) throws IOException {
        return Fields.text(in, MAX_DOCUMENT_BYTES);
    }

    private static DocumentEdit edit(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, EDIT_FIELDS)) {
            return new DocumentEdit(
                    f.int32(), f.int32(), f.text(MAX_DOCUMENT_BYTES), f.text(MAX_NAME_BYTES));
        }
    }
}
