package org.masticweir.router;

import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/** Asks a peer for its configuration if it holds a higher revision than {@code above}. */
record ConfigAsk(long above) implements PeerMessage {
    private static final int FIELDS = 1;

    static final MessageCodec<ConfigAsk> CODEC =
            FieldsCodec.of(
                    MessageTypes.CONFIG_ASK,
                    ConfigAsk.class,
                    FIELDS,
                    (m, out) -> out.packLong(m.above),
                    f -> new ConfigAsk(f.int64()));
}
