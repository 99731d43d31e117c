package org.masticweir.reports;

import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/**
 * Asks a router of another domain for some engines there that have room; see {@link FarCandidates}.
 */
public record CandidatesAsk(int perModel) implements PeerMessage {
    private static final int TYPE = 67;
    private static final int FIELDS = 1;

    /** Writes and reads {@link CandidatesAsk}. */
    public static final MessageCodec<CandidatesAsk> CODEC =
            FieldsCodec.of(
                    TYPE,
                    CandidatesAsk.class,
                    FIELDS,
                    (m, out) -> out.packInt(m.perModel),
                    f -> new CandidatesAsk(f.int32()));
}
