package org.masticweir.claims;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;

/** The codecs of claim messages, for the registry of a router's links. */
public final class ClaimMessageCodecs {
    private static final int WRITE_REQUEST_TYPE = 72;
    private static final int WRITE_ACCEPTED_TYPE = 73;
    private static final int WRITE_RESPONSE_TYPE = 74;

    private static final List<ClaimWriteResponse.Kind> KINDS =
            List.of(ClaimWriteResponse.Kind.values());

    private static final MessageCodec<ClaimWriteRequest> WRITE_REQUEST =
            FieldsCodec.of(
                    WRITE_REQUEST_TYPE,
                    ClaimWriteRequest.class,
                    6,
                    (m, out) -> {
                        out.packLong(m.id().claim()).packInt(m.id().ticket());
                        out.packString(m.key()).packLong(m.expectedRevision());
                        out.packBoolean(m.isUrgent()).packString(m.row());
                    },
                    f ->
                            new ClaimWriteRequest(
                                    new ClaimWriteId(f.int64(), f.int32()),
                                    f.text(ClaimWriteRequest.MAX_KEY_BYTES),
                                    f.int64(),
                                    f.bool(),
                                    f.text(ClaimWriteRequest.MAX_ROW_BYTES)));

    private static final MessageCodec<ClaimWriteAccepted> WRITE_ACCEPTED =
            FieldsCodec.of(
                    WRITE_ACCEPTED_TYPE,
                    ClaimWriteAccepted.class,
                    2,
                    (m, out) -> out.packLong(m.id().claim()).packInt(m.id().ticket()),
                    f -> new ClaimWriteAccepted(new ClaimWriteId(f.int64(), f.int32())));

    private static final MessageCodec<ClaimWriteResponse> WRITE_RESPONSE =
            FieldsCodec.of(
                    WRITE_RESPONSE_TYPE,
                    ClaimWriteResponse.class,
                    3,
                    (m, out) -> {
                        out.packInt(m.kind().ordinal());
                        out.packLong(m.number()).packString(m.value());
                    },
                    f ->
                            new ClaimWriteResponse(
                                    KINDS.get(f.int32()),
                                    f.int64(),
                                    f.text(ClaimWriteRequest.MAX_ROW_BYTES)));

    private ClaimMessageCodecs() {}

    /** Returns the codecs; they use the message types 72 to 74. */
    public static ImmutableList<MessageCodec<?>> all() {
        return ImmutableList.of(WRITE_REQUEST, WRITE_ACCEPTED, WRITE_RESPONSE);
    }
}
