package org.masticweir.instances;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.masticweir.id.DomainId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.InstanceKind;
import org.masticweir.store.InstanceRecord;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What a router found changed on the instance list.
 *
 * @param from digest of the list before the changes
 * @param to digest of the list after them
 * @param put instances that came or changed
 * @param gone ids of instances that are no longer listed
 */
public record InstanceNews(
        long from, long to, ImmutableList<InstanceRecord> put, ImmutableList<String> gone)
        implements PeerMessage {
    /** Most changes that are told; after more, each router reads the list itself. */
    public static final int MAX_CHANGES = 512;

    /** Writes and reads {@link InstanceNews}. */
    public static final MessageCodec<InstanceNews> CODEC = new Codec();

    public InstanceNews {
        checkNotNull(put, "put");
        checkNotNull(gone, "gone");
    }

    private static final class Codec implements MessageCodec<InstanceNews> {
        private static final int TYPE = 68;
        private static final int FIELDS = 4;
        private static final int INSTANCE_FIELDS = 7;
        private static final int MAX_NAME_BYTES = 256;
        private static final int IPV6_BYTES = 16;

        /** Kinds by their number on the wire; append only. */
        private static final List<InstanceKind> KINDS =
                List.of(InstanceKind.ENGINE, InstanceKind.SERVICE, InstanceKind.ROUTER);

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<InstanceNews> messageType() {
            return InstanceNews.class;
        }

        @Override
        public void encode(InstanceNews m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS).packLong(m.from).packLong(m.to);
            out.packArrayHeader(m.put.size());
            for (InstanceRecord i : m.put) {
                byte[] ip = i.address().getAddress().getAddress();
                out.packArrayHeader(INSTANCE_FIELDS).packString(i.id());
                out.packInt(KINDS.indexOf(i.kind())).packString(i.group());
                out.packString(i.domain().value());
                out.packBinaryHeader(ip.length).writePayload(ip);
                out.packInt(i.address().getPort()).packBoolean(i.leaving());
            }
            out.packArrayHeader(m.gone.size());
            for (String id : m.gone) {
                out.packString(id);
            }
        }

        @Override
        public InstanceNews decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new InstanceNews(
                        f.int64(),
                        f.int64(),
                        f.list(MAX_CHANGES, Codec::instance),
                        f.list(MAX_CHANGES, Codec::name));
            }
        }

        private static InstanceRecord instance(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, INSTANCE_FIELDS)) {
                String id = f.text(MAX_NAME_BYTES);
                InstanceKind kind = KINDS.get(f.int32());
                String group = f.text(MAX_NAME_BYTES);
                DomainId domain = DomainId.of(f.text(MAX_NAME_BYTES));
                InetAddress ip = InetAddress.getByAddress(f.bytes(IPV6_BYTES));
                InetSocketAddress address = new InetSocketAddress(ip, f.int32());
                return new InstanceRecord(id, kind, group, domain, address, f.bool());
            }
        }

        private static String name(MessageUnpacker in) throws IOException {
            int n = in.unpackRawStringHeader();
            if (n > MAX_NAME_BYTES) {
                throw new IllegalArgumentException("name of " + n + " bytes");
            }
            return new String(in.readPayload(n), StandardCharsets.UTF_8);
        }
    }
}
