package org.masticweir.relay;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.feed.StoreContact;
import org.masticweir.forward.ServerLoad;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.permits.LimitUpdate;
import org.masticweir.permits.PermitReply;
import org.masticweir.permits.PermitRequest;
import org.masticweir.permits.RateUsageReport;
import org.masticweir.quarantine.CrashUpdate;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The messages between routers that pass requests on; numbers are never reused. */
final class RelayMessages {
    private static final int INTRODUCTION = 96;
    private static final int PULSE = 97;
    private static final int CATALOG_ASK = 98;
    private static final int CATALOG_OFFER = 99;
    private static final int SERVER_NEWS = 100;
    private static final int USE_NEWS = 101;
    private static final int FAILURE_NEWS = 102;
    private static final int SERVERS_ASK = 103;
    private static final int CRASH_NEWS = 104;
    private static final int LIMIT_NEWS = 105;
    private static final int PERMIT_ASK = 106;
    private static final int PERMIT_REPLY = 107;
    private static final int PERMIT_USE = 108;

    private static final int MAX_ID_BYTES = 256;
    private static final int USE_FIELDS = 6;
    private static final int MAX_SERVERS = 16_384;
    static final int MAX_CATALOG_BYTES = 4 << 20;
    private static final byte[] NO_BYTES = {};

    private RelayMessages() {}

    /** Where the sender listens. */
    record Introduction(RouterAt router) implements PeerMessage {}

    /** A router, its failure domain and the address at which its peers reach it. */
    record RouterAt(RouterId id, DomainId domain, InetSocketAddress address) {}

    /**
     * Says what the sender knows of the store; asked for, the reply is another.
     *
     * @param newestWord revision of the newest word on a server
     * @param completeTo revision up to which all words on servers are known
     */
    record Pulse(long catalogVersion, StoreContact contact, long newestWord, long completeTo)
            implements PeerMessage {}

    /**
     * Asks for the catalog if the peer's is newer.
     *
     * @param newerThan the version that the sender holds
     * @param takesEdits whether the sender reads edits, which older routers do not
     */
    record CatalogRequest(long newerThan, boolean takesEdits) implements PeerMessage {}

    /**
     * The peer's catalog, if it is newer: whole, or as an edit of the text that the asking router
     * holds. An edit of no text fits any.
     */
    record CatalogReply(String text, Optional<PackedEdit> edit) implements PeerMessage {
        static CatalogReply nothing() {
            return whole("");
        }

        static CatalogReply whole(String text) {
            return new CatalogReply(text, Optional.empty());
        }

        static CatalogReply edit(PackedEdit edit) {
            return new CatalogReply("", Optional.of(edit));
        }

        /** Returns its length on a link, in bytes, headers left out. */
        long length() {
            return text.length() + edit.map(PackedEdit::length).orElse(0);
        }
    }

    /**
     * All words on servers after one revision of the store up to another.
     *
     * @param after {@link WordsKnown#START} if these are all servers that there are
     * @param doubtMs how long removals among them are doubted still, in ms
     */
    record ServerNews(long after, long completeTo, long doubtMs, List<ServerWordNews> words)
            implements PeerMessage {
        ServerNews {
            words = ImmutableList.copyOf(words);
        }

        boolean isWhole() {
            return after == WordsKnown.START;
        }
    }

    /**
     * Asks for the words on servers that the sender lacks; the reply is a {@link ServerNews}.
     *
     * @param completeTo revision up to which the sender knows all
     * @param digest of the words that it has, so that no list is sent where both have the same
     */
    record ServersAsk(long completeTo, long digest) implements PeerMessage {}

    /** What the sender has at engines now. */
    record UseNews(List<EngineUse> uses) implements PeerMessage {
        UseNews {
            uses = ImmutableList.copyOf(uses);
        }
    }

    /** What a router has at one engine. */
    record EngineUse(ServerIncarnation engine, ServerLoad use) {}

    /** A server failed at the sender, or is gone for good. */
    record FailureNews(ServerIncarnation server, boolean gone) implements PeerMessage {}

    static List<MessageCodec<?>> codecs() {
        return ImmutableList.<MessageCodec<?>>builder()
                .addAll(ofRoutersAndUse())
                .addAll(ofTheStore())
                .add(LimitUpdate.codec(LIMIT_NEWS))
                .add(PermitRequest.codec(PERMIT_ASK))
                .add(PermitReply.codec(PERMIT_REPLY))
                .add(RateUsageReport.codec(PERMIT_USE))
                .build();
    }

    private static List<MessageCodec<?>> ofTheStore() {
        return ImmutableList.of(
                FieldsCodec.of(
                        PULSE,
                        Pulse.class,
                        4,
                        RelayMessages::encodePulse,
                        f ->
                                new Pulse(
                                        f.int64(),
                                        StoreContact.ofOrdinal(f.int32()),
                                        f.int64(),
                                        f.int64())),
                FieldsCodec.of(
                        CATALOG_ASK,
                        CatalogRequest.class,
                        2,
                        1,
                        (m, out) -> out.packLong(m.newerThan()).packBoolean(m.takesEdits()),
                        f -> new CatalogRequest(f.int64(), f.hasMore() && f.bool())),
                FieldsCodec.of(
                        CATALOG_OFFER,
                        CatalogReply.class,
                        2,
                        1,
                        RelayMessages::encodeOffer,
                        f -> new CatalogReply(f.text(MAX_CATALOG_BYTES), edit(f))),
                FieldsCodec.of(
                        SERVER_NEWS,
                        ServerNews.class,
                        4,
                        RelayMessages::encodeServers,
                        f ->
                                new ServerNews(
                                        f.int64(),
                                        f.int64(),
                                        f.int64(),
                                        f.list(MAX_SERVERS, ServerWordNews::decode))),
                FieldsCodec.of(
                        SERVERS_ASK,
                        ServersAsk.class,
                        2,
                        (m, out) -> out.packLong(m.completeTo()).packLong(m.digest()),
                        f -> new ServersAsk(f.int64(), f.int64())));
    }

    private static List<MessageCodec<?>> ofRoutersAndUse() {
        return ImmutableList.of(
                FieldsCodec.of(
                        INTRODUCTION,
                        Introduction.class,
                        3,
                        (m, out) -> encodeRouter(m.router(), out),
                        f -> new Introduction(router(f))),
                FieldsCodec.of(
                        USE_NEWS,
                        UseNews.class,
                        1,
                        RelayMessages::encodeUses,
                        f -> new UseNews(f.list(MAX_SERVERS, RelayMessages::use))),
                FieldsCodec.of(
                        FAILURE_NEWS,
                        FailureNews.class,
                        3,
                        (m, out) -> encodeLife(m.server(), out).packBoolean(m.gone()),
                        f -> new FailureNews(life(f), f.bool())),
                CrashUpdate.codec(CRASH_NEWS));
    }

    private static void encodeRouter(RouterAt router, MessagePacker out) throws IOException {
        out.packString(router.id().value()).packString(router.domain().value());
        out.packString(IpAddress.text(router.address()));
    }

    private static RouterAt router(Fields f) throws IOException {
        return new RouterAt(
                RouterId.of(f.text(MAX_ID_BYTES)),
                DomainId.of(f.text(MAX_ID_BYTES)),
                IpAddress.parse(f.text(MAX_ID_BYTES)));
    }

    private static void encodePulse(Pulse pulse, MessagePacker out) throws IOException {
        out.packLong(pulse.catalogVersion()).packInt(pulse.contact().ordinal());
        out.packLong(pulse.newestWord()).packLong(pulse.completeTo());
    }

    private static void encodeOffer(CatalogReply offer, MessagePacker out) throws IOException {
        byte[] edit = offer.edit().map(PackedEdit::bytes).orElse(NO_BYTES);
        out.packString(offer.text()).packBinaryHeader(edit.length).writePayload(edit);
    }

    private static Optional<PackedEdit> edit(Fields f) throws IOException {
        byte[] edit = f.hasMore() ? f.bytes(MAX_CATALOG_BYTES) : NO_BYTES;
        return edit.length == 0 ? Optional.empty() : Optional.of(PackedEdit.ofBytes(edit));
    }

    private static MessagePacker encodeLife(ServerIncarnation life, MessagePacker out)
            throws IOException {
        return out.packString(life.id().value()).packLong(life.startedMs());
    }

    private static ServerIncarnation life(Fields f) throws IOException {
        return ServerIncarnation.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
    }

    private static void encodeServers(ServerNews news, MessagePacker out) throws IOException {
        out.packLong(news.after()).packLong(news.completeTo()).packLong(news.doubtMs());
        out.packArrayHeader(news.words().size());
        for (ServerWordNews word : news.words()) {
            word.encode(out);
        }
    }

    private static void encodeUses(UseNews news, MessagePacker out) throws IOException {
        out.packArrayHeader(news.uses().size());
        for (EngineUse engine : news.uses()) {
            ServerLoad use = engine.use();
            out.packArrayHeader(USE_FIELDS);
            encodeLife(engine.engine(), out).packInt(use.running()).packInt(use.prefills());
            out.packLong(use.prefillTokens()).packLong(use.memoryTokens());
        }
    }

    private static EngineUse use(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, USE_FIELDS)) {
            return new EngineUse(
                    life(f), new ServerLoad(f.int32(), f.int32(), f.int64(), f.int64()));
        }
    }
}
