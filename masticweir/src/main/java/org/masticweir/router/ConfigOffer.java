package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.util.Optional;
import org.masticweir.config.StoredRevision;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Answers a {@link ConfigAsk}; empty when the peer holds nothing higher. */
record ConfigOffer(Optional<StoredRevision> row) implements PeerMessage {
    static final MessageCodec<ConfigOffer> CODEC = new Codec();

    ConfigOffer {
        checkNotNull(row, "row");
    }

    /** Writes and reads {@link ConfigOffer}. */
    private static final class Codec implements MessageCodec<ConfigOffer> {
        private static final int FIELDS = 1;
        private static final int ROW_FIELDS = 5;
        private static final int MAX_NAME_BYTES = 1024;
        private static final int MAX_DOCUMENT_BYTES = 1 << 20;

        @Override
        public int type() {
            return MessageTypes.CONFIG_OFFER;
        }

        @Override
        public Class<ConfigOffer> messageType() {
            return ConfigOffer.class;
        }

        @Override
        public void encode(ConfigOffer m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS);
            out.packArrayHeader(m.row.isPresent() ? 1 : 0);
            if (m.row.isPresent()) {
                StoredRevision row = m.row.get();
                out.packArrayHeader(ROW_FIELDS).packLong(row.revision());
                out.packString(row.changeId()).packString(row.author()).packLong(row.atMs());
                out.packString(row.document());
            }
        }

        @Override
        public ConfigOffer decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new ConfigOffer(f.list(1, Codec::row).stream().findFirst());
            }
        }

        private static StoredRevision row(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, ROW_FIELDS)) {
                long revision = f.int64();
                String changeId = f.text(MAX_NAME_BYTES);
                String author = f.text(MAX_NAME_BYTES);
                long atMs = f.int64();
                return new StoredRevision(
                        revision, changeId, author, atMs, f.text(MAX_DOCUMENT_BYTES));
            }
        }
    }
}
