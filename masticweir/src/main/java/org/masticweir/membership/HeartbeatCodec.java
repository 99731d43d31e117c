package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads heartbeats, in few bytes: they are most of the control traffic. */
enum HeartbeatCodec implements MessageCodec<Heartbeat> {
    INSTANCE;

    private static final int TYPE = FIRST_FREE_TYPE;
    private static final int FIELDS = 7;

    /** Fields that every version sends; the interval came later. */
    private static final int REQUIRED_FIELDS = 6;

    private static final int ADDRESS_FIELDS = 4;
    private static final int LOAD_FIELDS = 3;
    private static final int DOMAIN_FIELDS = 2;
    private static final int MAX_ID_BYTES = 256;
    private static final int IPV6_BYTES = 16;

    /** States by their number on the wire; append only. */
    private static final List<MemberState> STATES =
            List.of(MemberState.STARTING, MemberState.SERVING, MemberState.DRAINING);

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public Class<Heartbeat> messageType() {
        return Heartbeat.class;
    }

    @Override
    public void encode(Heartbeat m, MessagePacker out) throws IOException {
        out.packArrayHeader(FIELDS);
        packAddress(m.sender(), out);
        out.packInt(STATES.indexOf(m.state()));
        out.packLong(m.configRevision());
        LoadDigest load = m.load();
        out.packArrayHeader(LOAD_FIELDS).packInt(load.running()).packInt(load.queued());
        out.packInt(load.tokensPerSecond());
        out.packArrayHeader(m.domains().size());
        for (DomainRevision d : m.domains()) {
            out.packArrayHeader(DOMAIN_FIELDS);
            out.packString(d.domain().value()).packLong(d.revision());
        }
        out.packArrayHeader(m.rumours().size());
        for (RouterAddress r : m.rumours()) {
            packAddress(r, out);
        }
        out.packLong(m.intervalMs());
    }

    @Override
    public Heartbeat decode(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, REQUIRED_FIELDS)) {
            RouterAddress sender = f.nested(HeartbeatCodec::unpackAddress);
            int state = f.int32();
            checkArgument(state >= 0 && state < STATES.size(), "state %s", state);
            long revision = f.int64();
            LoadDigest load = f.nested(HeartbeatCodec::unpackLoad);
            List<DomainRevision> domains =
                    f.list(Heartbeat.MAX_DOMAINS, HeartbeatCodec::unpackDomain);
            List<RouterAddress> rumours =
                    f.list(Heartbeat.MAX_RUMOURS, HeartbeatCodec::unpackAddress);
            long intervalMs = f.hasMore() ? f.int64() : 0;
            return new Heartbeat(
                    sender, STATES.get(state), revision, load, intervalMs, domains, rumours);
        }
    }

    private static void packAddress(RouterAddress r, MessagePacker out) throws IOException {
        byte[] ip = r.address().getAddress().getAddress();
        ByteBuffer packed = ByteBuffer.allocate(ip.length + Short.BYTES);
        packed.put(ip).putShort((short) r.address().getPort());
        out.packArrayHeader(ADDRESS_FIELDS);
        out.packString(r.router().value()).packString(r.domain().value());
        out.packBinaryHeader(packed.capacity()).writePayload(packed.array());
        out.packLong(r.incarnation());
    }

    private static RouterAddress unpackAddress(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, ADDRESS_FIELDS)) {
            RouterId router = RouterId.of(f.text(MAX_ID_BYTES));
            DomainId domain = DomainId.of(f.text(MAX_ID_BYTES));
            ByteBuffer packed = ByteBuffer.wrap(f.bytes(IPV6_BYTES + Short.BYTES));
            checkArgument(packed.remaining() > Short.BYTES, "address is too short");
            byte[] ip = new byte[packed.remaining() - Short.BYTES];
            packed.get(ip);
            int port = Short.toUnsignedInt(packed.getShort());
            InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(ip), port);
            return new RouterAddress(router, domain, address, f.int64());
        }
    }

    private static LoadDigest unpackLoad(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LOAD_FIELDS)) {
            return new LoadDigest(f.int32(), f.int32(), f.int32());
        }
    }

    private static DomainRevision unpackDomain(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, DOMAIN_FIELDS)) {
            return new DomainRevision(DomainId.of(f.text(MAX_ID_BYTES)), f.int64());
        }
    }
}
