package org.masticweir.router;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks a peer for its configuration if it holds a higher revision than {@code above}. */
record ConfigAsk(long above) implements PeerMessage {
    static final MessageCodec<ConfigAsk> CODEC = new Codec();

    /** Writes and reads {@link ConfigAsk}. */
    private static final class Codec implements MessageCodec<ConfigAsk> {
        private static final int FIELDS = 1;

        @Override
        public int type() {
            return MessageTypes.CONFIG_ASK;
        }

        @Override
        public Class<ConfigAsk> messageType() {
            return ConfigAsk.class;
        }

        @Override
        public void encode(ConfigAsk m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS).packLong(m.above);
        }

        @Override
        public ConfigAsk decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new ConfigAsk(f.int64());
            }
        }
    }
}
