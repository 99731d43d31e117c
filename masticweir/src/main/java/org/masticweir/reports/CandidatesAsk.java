package org.masticweir.reports;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Asks a router of another domain for some engines there that have room; see {@link FarCandidates}.
 */
public record CandidatesAsk(int perModel) implements PeerMessage {
    /** Writes and reads {@link CandidatesAsk}. */
    public static final MessageCodec<CandidatesAsk> CODEC = new Codec();

    private static final class Codec implements MessageCodec<CandidatesAsk> {
        private static final int TYPE = 67;
        private static final int FIELDS = 1;

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<CandidatesAsk> messageType() {
            return CandidatesAsk.class;
        }

        @Override
        public void encode(CandidatesAsk m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS).packInt(m.perModel);
        }

        @Override
        public CandidatesAsk decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new CandidatesAsk(f.int32());
            }
        }
    }
}
