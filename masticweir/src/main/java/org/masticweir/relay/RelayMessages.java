package org.masticweir.relay;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.catalog.ServerLife;
import org.masticweir.forward.ServerUse;
import org.masticweir.http.IpAddress;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
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

    private static final int MAX_ID_BYTES = 256;
    private static final int MAX_ROUTERS = 4_096;
    private static final int MAX_SERVERS = 16_384;
    private static final int MAX_CATALOG_BYTES = 4 << 20;

    private RelayMessages() {}

    /** Where routers listen: the sender first, then those that it knows. */
    record Introduction(List<RouterAt> routers) implements PeerMessage {
        Introduction {
            routers = ImmutableList.copyOf(routers);
        }
    }

    /** A router and the address at which its peers reach it. */
    record RouterAt(RouterId id, InetSocketAddress address) {}

    /** Asks whether the peer lives, and says which catalog the sender has; the reply is another. */
    record Pulse(long catalogVersion, boolean hearsStore) implements PeerMessage {}

    /** Asks for the catalog if the peer's is newer. */
    record CatalogAsk(long newerThan) implements PeerMessage {}

    /** The catalog as it stands in the store; empty if there is no newer one. */
    record CatalogOffer(String text) implements PeerMessage {}

    /** Words on servers. */
    record ServerNews(List<ServerWordNews> words) implements PeerMessage {
        ServerNews {
            words = ImmutableList.copyOf(words);
        }
    }

    /** What the sender has at an engine now. */
    record UseNews(ServerLife engine, ServerUse use) implements PeerMessage {}

    /** A server failed at the sender, or is gone for good. */
    record FailureNews(ServerLife server, boolean gone) implements PeerMessage {}

    static List<MessageCodec<?>> codecs() {
        return ImmutableList.of(
                FieldsCodec.of(
                        INTRODUCTION,
                        Introduction.class,
                        1,
                        (m, out) -> encodeRouters(m.routers(), out),
                        f -> new Introduction(f.list(MAX_ROUTERS, RelayMessages::router))),
                FieldsCodec.of(
                        PULSE,
                        Pulse.class,
                        2,
                        (m, out) -> out.packLong(m.catalogVersion()).packBoolean(m.hearsStore()),
                        f -> new Pulse(f.int64(), f.bool())),
                FieldsCodec.of(
                        CATALOG_ASK,
                        CatalogAsk.class,
                        1,
                        (m, out) -> out.packLong(m.newerThan()),
                        f -> new CatalogAsk(f.int64())),
                FieldsCodec.of(
                        CATALOG_OFFER,
                        CatalogOffer.class,
                        1,
                        (m, out) -> out.packString(m.text()),
                        f -> new CatalogOffer(f.text(MAX_CATALOG_BYTES))),
                FieldsCodec.of(
                        SERVER_NEWS,
                        ServerNews.class,
                        1,
                        (m, out) -> encodeWords(m.words(), out),
                        f -> new ServerNews(f.list(MAX_SERVERS, ServerWordNews::decode))),
                FieldsCodec.of(
                        USE_NEWS,
                        UseNews.class,
                        6,
                        RelayMessages::encodeUse,
                        f ->
                                new UseNews(
                                        life(f),
                                        new ServerUse(f.int32(), f.int32(), f.int64(), f.int64()))),
                FieldsCodec.of(
                        FAILURE_NEWS,
                        FailureNews.class,
                        3,
                        (m, out) -> encodeLife(m.server(), out).packBoolean(m.gone()),
                        f -> new FailureNews(life(f), f.bool())));
    }

    private static void encodeRouters(List<RouterAt> routers, MessagePacker out)
            throws IOException {
        out.packArrayHeader(routers.size());
        for (RouterAt router : routers) {
            out.packArrayHeader(2).packString(router.id().value());
            out.packString(IpAddress.text(router.address()));
        }
    }

    private static RouterAt router(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, 2)) {
            return new RouterAt(
                    RouterId.of(f.text(MAX_ID_BYTES)), IpAddress.parse(f.text(MAX_ID_BYTES)));
        }
    }

    private static MessagePacker encodeLife(ServerLife life, MessagePacker out) throws IOException {
        return out.packString(life.id().value()).packLong(life.startedMs());
    }

    private static ServerLife life(Fields f) throws IOException {
        return ServerLife.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
    }

    private static void encodeWords(List<ServerWordNews> words, MessagePacker out)
            throws IOException {
        out.packArrayHeader(words.size());
        for (ServerWordNews word : words) {
            word.encode(out);
        }
    }

    private static void encodeUse(UseNews news, MessagePacker out) throws IOException {
        ServerUse use = news.use();
        encodeLife(news.engine(), out).packInt(use.running()).packInt(use.reading());
        out.packLong(use.readingTokens()).packLong(use.memoryTokens());
    }
}
