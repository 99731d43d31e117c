package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The first message each side of a link sends: who it is.
 *
 * @param incarnation grows with every restart under the same router id
 */
public record Hello(RouterId router, long incarnation, DomainId domain) implements PeerMessage {
    static final MessageCodec<Hello> CODEC = new Codec();

    public Hello {
        checkNotNull(router, "router");
        checkArgument(incarnation >= 0, "incarnation %s", incarnation);
        checkNotNull(domain, "domain");
    }

    public static Hello of(RouterId router, long incarnation, DomainId domain) {
        return new Hello(router, incarnation, domain);
    }

    /** Writes and reads {@link Hello}. */
    private static final class Codec implements MessageCodec<Hello> {
        private static final int TYPE = 1;
        private static final int FIELDS = 3;
        private static final int MAX_ID_BYTES = 128;

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<Hello> messageType() {
            return Hello.class;
        }

        @Override
        public void encode(Hello m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS);
            out.packString(m.router.value());
            out.packLong(m.incarnation);
            out.packString(m.domain.value());
        }

        @Override
        public Hello decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                RouterId router = RouterId.of(f.text(MAX_ID_BYTES));
                long incarnation = f.int64();
                return new Hello(router, incarnation, DomainId.of(f.text(MAX_ID_BYTES)));
            }
        }
    }
}
