package org.masticweir.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.quarantine.Quarantine.ContentUpdate;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reports to another router which servers ended while they ran which contents; immutable. */
public record CrashUpdate(List<ContentUpdate> contents) implements PeerMessage {
    /** Fields of a content; older versions send the first {@link #OLD_CONTENT_FIELDS}. */
    private static final int CONTENT_FIELDS = 6;

    private static final int OLD_CONTENT_FIELDS = 4;
    private static final int LOSS_FIELDS = 4;
    private static final int INCARNATION_FIELDS = 2;
    private static final int MAX_CONTENTS = 16_384;
    private static final int MAX_ID_BYTES = 256;

    public CrashUpdate {
        contents = ImmutableList.copyOf(contents);
    }

    /** Returns the codec of crash updates with message type {@code type}. */
    public static MessageCodec<CrashUpdate> codec(int type) {
        return FieldsCodec.of(
                type,
                CrashUpdate.class,
                1,
                CrashUpdate::encode,
                f -> new CrashUpdate(f.list(MAX_CONTENTS, CrashUpdate::decodeContent)));
    }

    private static void encode(CrashUpdate update, MessagePacker out) throws IOException {
        out.packArrayHeader(update.contents.size());
        for (ContentUpdate content : update.contents) {
            CrashRecord record = content.record();
            out.packArrayHeader(CONTENT_FIELDS).packString(record.content().value());
            out.packArrayHeader(record.losses().size());
            for (Loss loss : record.losses()) {
                encodeIncarnation(loss.life(), out.packArrayHeader(LOSS_FIELDS));
                out.packLong(loss.sentMs()).packLong(loss.endedMs());
            }
            encodeIncarnations(record.withdrawn(), out);
            out.packBoolean(content.isOnTrial());
            out.packBoolean(record.isPart());
            out.packArrayHeader(record.lastSuccessMs().isPresent() ? 1 : 0);
            if (record.lastSuccessMs().isPresent()) {
                out.packLong(record.lastSuccessMs().getAsLong());
            }
        }
    }

    private static void encodeIncarnations(Set<ServerIncarnation> incarnations, MessagePacker out)
            throws IOException {
        out.packArrayHeader(incarnations.size());
        for (ServerIncarnation incarnation : incarnations) {
            encodeIncarnation(incarnation, out.packArrayHeader(INCARNATION_FIELDS));
        }
    }

    private static void encodeIncarnation(ServerIncarnation incarnation, MessagePacker out)
            throws IOException {
        out.packString(incarnation.id().value()).packLong(incarnation.startedMs());
    }

    private static ContentUpdate decodeContent(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, OLD_CONTENT_FIELDS)) {
            ContentId content = ContentId.of(f.text(MAX_ID_BYTES));
            ImmutableList<Loss> losses =
                    f.list(CrashRecord.MAX_INCARNATIONS, CrashUpdate::decodeLoss);
            ImmutableSet<ServerIncarnation> withdrawn =
                    ImmutableSet.copyOf(
                            f.list(
                                    CrashRecord.MAX_INCARNATIONS,
                                    CrashUpdate::decodeListedIncarnation));
            boolean isOnTrial = f.bool();
            boolean isPart = f.hasMore() && f.bool();
            List<Long> success =
                    f.hasMore() ? f.list(1, MessageUnpacker::unpackLong) : ImmutableList.of();
            OptionalLong lastSuccessMs = success.stream().mapToLong(Long::longValue).findFirst();
            return new ContentUpdate(
                    new CrashRecord(content, isPart, lastSuccessMs, losses, withdrawn), isOnTrial);
        }
    }

    private static Loss decodeLoss(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LOSS_FIELDS)) {
            return new Loss(decodeIncarnation(f), f.int64(), f.int64());
        }
    }

    private static ServerIncarnation decodeListedIncarnation(MessageUnpacker in)
            throws IOException {
        try (Fields f = Fields.open(in, INCARNATION_FIELDS)) {
            return decodeIncarnation(f);
        }
    }

    private static ServerIncarnation decodeIncarnation(Fields f) throws IOException {
        return ServerIncarnation.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
    }
}
