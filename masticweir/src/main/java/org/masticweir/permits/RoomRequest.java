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
 * Requests room for one request at a brittle server; the reply is a {@link PermitReply}.
 *
 * @param heldCount requests for which the sender holds room, without this one
 * @param slots requests that the server works on at once
 * @param maxRejections rejections a second that the server bears
 * @param urgency 0 is the most urgent
 * @param isForwarded whether this request was forwarded by a router that is not the issuer
 */
public record RoomRequest(
        PermitKey key,
        int heldCount,
        int slots,
        double maxRejections,
        int urgency,
        boolean isForwarded)
        implements PeerMessage {
    private static final int FIELDS = 6;

    public RoomRequest {
        checkNotNull(key, "key");
        checkArgument(heldCount >= 0, "held %s", heldCount);
        checkArgument(slots >= 1, "slots %s", slots);
        checkArgument(maxRejections >= 0, "%s rejections", maxRejections);
    }

    RoomRequest forwarded() {
        return new RoomRequest(key, heldCount, slots, maxRejections, urgency, true);
    }

    /** Returns the codec of room requests with message type {@code type}. */
    public static MessageCodec<RoomRequest> codec(int type) {
        return FieldsCodec.of(
                type, RoomRequest.class, FIELDS, RoomRequest::encode, RoomRequest::decode);
    }

    private static void encode(RoomRequest request, MessagePacker out) throws IOException {
        out.packString(request.key.value()).packInt(request.heldCount).packInt(request.slots);
        out.packDouble(request.maxRejections).packInt(request.urgency);
        out.packBoolean(request.isForwarded);
    }

    private static RoomRequest decode(Fields f) throws IOException {
        PermitKey key = new PermitKey(f.text(PermitRequest.MAX_KEY_BYTES));
        return new RoomRequest(key, f.int32(), f.int32(), f.float64(), f.int32(), f.bool());
    }
}
