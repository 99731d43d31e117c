package org.masticweir.router;

import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/**
 * Asks a peer for its configuration if it holds a higher revision than {@code above}.
 *
 * @param takesParts whether the sender reads edits of several parts, which older routers do not
 */
record ConfigAsk(long above, boolean takesParts) implements PeerMessage {
    private static final int FIELDS = 2;
    private static final int REQUIRED_FIELDS = 1;

    static final MessageCodec<ConfigAsk> CODEC =
            FieldsCodec.of(
                    MessageTypes.CONFIG_ASK,
                    ConfigAsk.class,
                    FIELDS,
                    REQUIRED_FIELDS,
                    (m, out) -> out.packLong(m.above).packBoolean(m.takesParts),
                    f -> new ConfigAsk(f.int64(), f.hasMore() && f.bool()));
}
