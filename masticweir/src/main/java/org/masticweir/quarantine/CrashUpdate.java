package org.masticweir.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.quarantine.Quarantine.News;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Tells another router which servers ended under which contents; immutable. */
public record CrashUpdate(List<News> contents) implements PeerMessage {
    private static final int CONTENT_FIELDS = 4;
    private static final int LOSS_FIELDS = 4;
    private static final int LIFE_FIELDS = 2;
    private static final int MAX_CONTENTS = 16_384;
    private static final int MAX_ID_BYTES = 256;

    public CrashUpdate {
        contents = ImmutableList.copyOf(contents);
    }

    /** Returns the codec of these messages under the number {@code type}. */
    public static MessageCodec<CrashUpdate> codec(int type) {
        return FieldsCodec.of(
                type,
                CrashUpdate.class,
                1,
                CrashUpdate::encode,
                f -> new CrashUpdate(f.list(MAX_CONTENTS, CrashUpdate::content)));
    }

    private static void encode(CrashUpdate news, MessagePacker out) throws IOException {
        out.packArrayHeader(news.contents.size());
        for (News content : news.contents) {
            CrashRecord record = content.record();
            out.packArrayHeader(CONTENT_FIELDS).packString(record.content().value());
            out.packArrayHeader(record.losses().size());
            for (Loss loss : record.losses()) {
                encodeLife(loss.incarnation(), out.packArrayHeader(LOSS_FIELDS));
                out.packLong(loss.sentMs()).packLong(loss.endedMs());
            }
            encodeLives(record.withdrawn(), out);
            out.packBoolean(content.onTrial());
        }
    }

    private static void encodeLives(Set<ServerIncarnation> lives, MessagePacker out)
            throws IOException {
        out.packArrayHeader(lives.size());
        for (ServerIncarnation life : lives) {
            encodeLife(life, out.packArrayHeader(LIFE_FIELDS));
        }
    }

    private static void encodeLife(ServerIncarnation life, MessagePacker out) throws IOException {
        out.packString(life.id().value()).packLong(life.startedMs());
    }

    private static News content(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, CONTENT_FIELDS)) {
            CrashRecord record =
                    new CrashRecord(
                            ContentId.of(f.text(MAX_ID_BYTES)),
                            f.list(CrashRecord.MOST_LIVES, CrashUpdate::loss),
                            ImmutableSet.copyOf(
                                    f.list(CrashRecord.MOST_LIVES, CrashUpdate::listedLife)));
            return new News(record, f.bool());
        }
    }

    private static Loss loss(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LOSS_FIELDS)) {
            return new Loss(life(f), f.int64(), f.int64());
        }
    }

    private static ServerIncarnation listedLife(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LIFE_FIELDS)) {
            return life(f);
        }
    }

    private static ServerIncarnation life(Fields f) throws IOException {
        return ServerIncarnation.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
    }
}
