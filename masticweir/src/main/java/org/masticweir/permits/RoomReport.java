package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;

/**
 * Reports that a request at a brittle server has ended.
 *
 * @param heldCount requests for which the sender still holds room
 * @param isRejected whether the server rejected the request
 */
public record RoomReport(PermitKey key, int heldCount, boolean isRejected) implements PeerMessage {
    private static final int FIELDS = 3;

    public RoomReport {
        checkNotNull(key, "key");
        checkArgument(heldCount >= 0, "held %s", heldCount);
    }

    /** Returns the codec of room reports with message type {@code type}. */
    public static MessageCodec<RoomReport> codec(int type) {
        return FieldsCodec.of(
                type, RoomReport.class, FIELDS, RoomReport::encode, RoomReport::decode);
    }

    private static void encode(RoomReport report, MessagePacker out) throws IOException {
        out.packString(report.key.value()).packInt(report.heldCount);
        out.packBoolean(report.isRejected);
    }

    private static RoomReport decode(Fields f) throws IOException {
        PermitKey key = new PermitKey(f.text(PermitRequest.MAX_KEY_BYTES));
        return new RoomReport(key, f.int32(), f.bool());
    }
}
