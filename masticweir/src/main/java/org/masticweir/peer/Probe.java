package org.masticweir.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks the other side of a link for a sign of life; the links answer it with another. */
record Probe() implements PeerMessage {
    static final MessageCodec<Probe> CODEC = new Codec();

    /** Writes and reads {@link Probe}. */
    private static final class Codec implements MessageCodec<Probe> {
        private static final int TYPE = 3;

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<Probe> messageType() {
            return Probe.class;
        }

        @Override
        public void encode(Probe m, MessagePacker out) throws IOException {
            out.packArrayHeader(0);
        }

        @Override
        public Probe decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, 0)) {
                return new Probe();
            }
        }
    }
}
