package org.masticweir.relay;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticweir.catalog.EntryOrigin;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.feed.StoreContact;
import org.masticweir.forward.ServerLoad;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.path.TunnelOffer;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.permits.BrittleUpdate;
import org.masticweir.permits.LimitUpdate;
import org.masticweir.permits.PermitReply;
import org.masticweir.permits.PermitRequest;
import org.masticweir.permits.RateUsageReport;
import org.masticweir.permits.RoomReport;
import org.masticweir.permits.RoomRequest;
import org.masticweir.quarantine.CrashUpdate;
import org.masticweir.store.Revision;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The messages between routers; message numbers are never reused. */
final class RelayMessages {
    private static final int INTRODUCTION = 96;
    private static final int STORE_STATUS = 97;
    private static final int CATALOG_REQUEST = 98;
    private static final int CATALOG_REPLY = 99;
    private static final int SERVER_UPDATES = 100;
    private static final int LOAD_UPDATE = 101;
    private static final int FAILURE_UPDATE = 102;
    private static final int SERVERS_REQUEST = 103;
    private static final int CRASH_UPDATE = 104;
    private static final int LIMIT_UPDATE = 105;
    private static final int PERMIT_REQUEST = 106;
    private static final int PERMIT_REPLY = 107;
    private static final int RATE_USAGE_REPORT = 108;
    private static final int TUNNEL_OFFER = 109;
    private static final int BRITTLE_UPDATE = 110;
    private static final int ROOM_REQUEST = 111;
    private static final int ROOM_REPORT = 112;

    private static final int MAX_ID_BYTES = 256;
    private static final int LOAD_FIELDS = 6;
    private static final int MAX_SERVERS = 16_384;
    static final int MAX_CATALOG_BYTES = 4 << 20;
    private static final byte[] NO_BYTES = {};
    private static final long NO_AGE = -1;

    private RelayMessages() {}

    /** Reports the address of a router to a peer. */
    record Introduction(RouterInfo router) implements PeerMessage {}

    /** A router, its failure domain and the address at which its peers connect to it. */
    record RouterInfo(RouterId id, DomainId domain, InetSocketAddress address) {}

    /**
     * Reports how much of the store's content the sender has received; the reply to a request of
     * this type has the same type.
     *
     * @param newestUpdate revision of the newest server update
     * @param completeTo revision up to which the sender has received all server updates
     * @param catalogAgeMs time since the store was last known to hold no newer catalog; empty if it
     *     never was, or if the sender does not report it
     */
    record StoreStatus(
            long catalogVersion,
            StoreContact contact,
            Revision newestUpdate,
            Revision completeTo,
            OptionalLong catalogAgeMs)
            implements PeerMessage {}

    /**
     * Requests the catalog from a peer whose version is newer than the sender's.
     *
     * @param newerThan the version that the sender holds
     * @param acceptsEdits whether the sender can apply edits, which older routers cannot
     */
    record CatalogRequest(long newerThan, boolean acceptsEdits) implements PeerMessage {}

    /**
     * Reply with the catalog, if it is newer: its full text, or an edit of the text that the
     * requesting router holds. An edit of the empty text applies to any text.
     *
     * @param ageMs time since the store was last known to hold no newer catalog; empty if it never
     *     was, or if the sender does not report it
     */
    record CatalogReply(String text, Optional<PackedEdit> edit, OptionalLong ageMs)
            implements PeerMessage {
        static CatalogReply empty() {
            return fullText("");
        }

        static CatalogReply fullText(String text) {
            return new CatalogReply(text, Optional.empty(), OptionalLong.empty());
        }

        static CatalogReply edit(PackedEdit edit) {
            return new CatalogReply("", Optional.of(edit), OptionalLong.empty());
        }

        CatalogReply withAge(OptionalLong ms) {
            return new CatalogReply(text, edit, ms);
        }

        /** Returns the length on a link without headers, in bytes. */
        long length() {
            return text.length() + edit.map(PackedEdit::length).orElse(0);
        }
    }

    /**
     * All server updates after one revision of the store up to another.
     *
     * @param afterRevision {@link UpdateProgress#BEFORE_FIRST_UPDATE} if the message lists all
     *     present servers
     * @param removalDelayMs longest remaining delay of the pending removals among them, in ms;
     *     removals without a delay of their own take effect after it
     */
    record ServerUpdates(
            Revision afterRevision,
            Revision completeTo,
            long removalDelayMs,
            List<ServerUpdate> updates)
            implements PeerMessage {
        ServerUpdates {
            updates = ImmutableList.copyOf(updates);
        }

        boolean isFullList() {
            return afterRevision.equals(UpdateProgress.BEFORE_FIRST_UPDATE);
        }

        /** Returns what the message shows of the moment at which {@code update} was written. */
        EntryOrigin originOf(ServerUpdate update) {
            return EntryOrigin.of(
                    Optional.of(afterRevision).filter(r -> !isFullList()), update.revision());
        }

        /**
         * Returns this message with updates that the sender has just applied. Peers may have
         * reported one of them before as a removal that they doubted; its revision is not new then,
         * but its delay is.
         */
        ServerUpdates including(List<ServerUpdate> applied) {
            Set<EngineId> included =
                    updates.stream().map(ServerUpdate::id).collect(Collectors.toSet());
            ImmutableList.Builder<ServerUpdate> all = ImmutableList.builder();
            all.addAll(updates);
            applied.stream().filter(u -> !included.contains(u.id())).forEach(all::add);
            return new ServerUpdates(afterRevision, completeTo, removalDelayMs, all.build());
        }
    }

    /**
     * Requests the server updates that the sender has not received; the reply is a {@link
     * ServerUpdates}.
     *
     * @param completeTo revision up to which the sender has received all updates
     * @param digest digest of the servers that the sender has received; a receiver with the same
     *     digest sends no full list
     */
    record ServersRequest(Revision completeTo, long digest) implements PeerMessage {}

    /** Reports the sender's current load on engines. */
    record LoadUpdate(List<EngineLoad> loads) implements PeerMessage {
        LoadUpdate {
            loads = ImmutableList.copyOf(loads);
        }
    }

    /** Load of one router on one engine. */
    record EngineLoad(ServerIncarnation engine, ServerLoad load) {}

    /** Reports that a server failed a request of the sender, or is gone for good. */
    record FailureUpdate(ServerIncarnation server, boolean isGone) implements PeerMessage {}

    static List<MessageCodec<?>> codecs() {
        return ImmutableList.<MessageCodec<?>>builder()
                .addAll(routerAndLoadCodecs())
                .addAll(storeCodecs())
                .add(LimitUpdate.codec(LIMIT_UPDATE))
                .add(PermitRequest.codec(PERMIT_REQUEST))
                .add(PermitReply.codec(PERMIT_REPLY))
                .add(RateUsageReport.codec(RATE_USAGE_REPORT))
                .add(TunnelOffer.codec(TUNNEL_OFFER))
                .add(BrittleUpdate.codec(BRITTLE_UPDATE))
                .add(RoomRequest.codec(ROOM_REQUEST))
                .add(RoomReport.codec(ROOM_REPORT))
                .build();
    }

    private static List<MessageCodec<?>> storeCodecs() {
        return ImmutableList.of(
                FieldsCodec.of(
                        STORE_STATUS,
                        StoreStatus.class,
                        7,
                        4,
                        RelayMessages::encodeStatus,
                        RelayMessages::decodeStatus),
                FieldsCodec.of(
                        CATALOG_REQUEST,
                        CatalogRequest.class,
                        2,
                        1,
                        (m, out) -> out.packLong(m.newerThan()).packBoolean(m.acceptsEdits()),
                        f -> new CatalogRequest(f.int64(), f.hasMore() && f.bool())),
                FieldsCodec.of(
                        CATALOG_REPLY,
                        CatalogReply.class,
                        3,
                        1,
                        RelayMessages::encodeReply,
                        f ->
                                new CatalogReply(
                                        f.text(MAX_CATALOG_BYTES), decodeEdit(f), decodeAge(f))),
                FieldsCodec.of(
                        SERVER_UPDATES,
                        ServerUpdates.class,
                        6,
                        4,
                        RelayMessages::encodeServers,
                        RelayMessages::decodeServers),
                FieldsCodec.of(
                        SERVERS_REQUEST,
                        ServersRequest.class,
                        3,
                        2,
                        (m, out) ->
                                out.packLong(m.completeTo().number())
                                        .packLong(m.digest())
                                        .packLong(m.completeTo().era()),
                        f -> {
                            long completeTo = f.int64();
                            long digest = f.int64();
                            return new ServersRequest(decodeRevision(completeTo, f), digest);
                        }));
    }

    private static List<MessageCodec<?>> routerAndLoadCodecs() {
        return ImmutableList.of(
                FieldsCodec.of(
                        INTRODUCTION,
                        Introduction.class,
                        3,
                        (m, out) -> encodeRouter(m.router(), out),
                        f -> new Introduction(decodeRouter(f))),
                FieldsCodec.of(
                        LOAD_UPDATE,
                        LoadUpdate.class,
                        1,
                        RelayMessages::encodeLoads,
                        f -> new LoadUpdate(f.list(MAX_SERVERS, RelayMessages::decodeLoad))),
                FieldsCodec.of(
                        FAILURE_UPDATE,
                        FailureUpdate.class,
                        3,
                        (m, out) -> encodeIncarnation(m.server(), out).packBoolean(m.isGone()),
                        f -> new FailureUpdate(decodeIncarnation(f), f.bool())),
                CrashUpdate.codec(CRASH_UPDATE));
    }

    private static void encodeRouter(RouterInfo router, MessagePacker out) throws IOException {
        out.packString(router.id().value()).packString(router.domain().value());
        out.packString(IpAddress.text(router.address()));
    }

    private static RouterInfo decodeRouter(Fields f) throws IOException {
        return new RouterInfo(
                RouterId.of(f.text(MAX_ID_BYTES)),
                DomainId.of(f.text(MAX_ID_BYTES)),
                IpAddress.parse(f.text(MAX_ID_BYTES)));
    }

    private static void encodeStatus(StoreStatus status, MessagePacker out) throws IOException {
        out.packLong(status.catalogVersion()).packInt(status.contact().ordinal());
        out.packLong(status.newestUpdate().number()).packLong(status.completeTo().number());
        out.packLong(status.catalogAgeMs().orElse(NO_AGE));
        out.packLong(status.newestUpdate().era()).packLong(status.completeTo().era());
    }

    private static StoreStatus decodeStatus(Fields f) throws IOException {
        long catalogVersion = f.int64();
        StoreContact contact = StoreContact.ofOrdinal(f.int32());
        long newestUpdate = f.int64();
        long completeTo = f.int64();
        OptionalLong catalogAgeMs = decodeAge(f);
        return new StoreStatus(
                catalogVersion,
                contact,
                decodeRevision(newestUpdate, f),
                decodeRevision(completeTo, f),
                catalogAgeMs);
    }

    /** Returns a revision whose era is the next field; routers without eras do not send it. */
    private static Revision decodeRevision(long number, Fields f) throws IOException {
        return new Revision(f.hasMore() ? f.int64() : 0, number);
    }

    private static OptionalLong decodeAge(Fields f) throws IOException {
        long ageMs = f.hasMore() ? f.int64() : NO_AGE;
        return ageMs >= 0 ? OptionalLong.of(ageMs) : OptionalLong.empty();
    }

    private static void encodeReply(CatalogReply reply, MessagePacker out) throws IOException {
        byte[] edit = reply.edit().map(PackedEdit::bytes).orElse(NO_BYTES);
        out.packString(reply.text()).packBinaryHeader(edit.length).writePayload(edit);
        out.packLong(reply.ageMs().orElse(NO_AGE));
    }

    private static Optional<PackedEdit> decodeEdit(Fields f) throws IOException {
        byte[] edit = f.hasMore() ? f.bytes(MAX_CATALOG_BYTES) : NO_BYTES;
        return edit.length == 0 ? Optional.empty() : Optional.of(PackedEdit.ofBytes(edit));
    }

    private static MessagePacker encodeIncarnation(ServerIncarnation incarnation, MessagePacker out)
            throws IOException {
        return out.packString(incarnation.id().value()).packLong(incarnation.startedMs());
    }

    private static ServerIncarnation decodeIncarnation(Fields f) throws IOException {
        return ServerIncarnation.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
    }

    private static void encodeServers(ServerUpdates message, MessagePacker out) throws IOException {
        out.packLong(message.afterRevision().number())
                .packLong(message.completeTo().number())
                .packLong(message.removalDelayMs());
        out.packArrayHeader(message.updates().size());
        for (ServerUpdate update : message.updates()) {
            update.encode(out);
        }
        out.packLong(message.afterRevision().era()).packLong(message.completeTo().era());
    }

    private static ServerUpdates decodeServers(Fields f) throws IOException {
        long afterRevision = f.int64();
        long completeTo = f.int64();
        long removalDelayMs = f.int64();
        List<ServerUpdate> updates = f.list(MAX_SERVERS, ServerUpdate::decode);
        return new ServerUpdates(
                decodeRevision(afterRevision, f),
                decodeRevision(completeTo, f),
                removalDelayMs,
                updates);
    }

    private static void encodeLoads(LoadUpdate message, MessagePacker out) throws IOException {
        out.packArrayHeader(message.loads().size());
        for (EngineLoad engine : message.loads()) {
            ServerLoad load = engine.load();
            out.packArrayHeader(LOAD_FIELDS);
            encodeIncarnation(engine.engine(), out)
                    .packInt(load.running())
                    .packInt(load.prefills());
            out.packLong(load.prefillTokens()).packLong(load.memoryTokens());
        }
    }

    private static EngineLoad decodeLoad(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LOAD_FIELDS)) {
            return new EngineLoad(
                    decodeIncarnation(f),
                    new ServerLoad(f.int32(), f.int32(), f.int64(), f.int64()));
        }
    }
}
