package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;

/**
 * Requests a permit for one use of a shared rate; the reply is a {@link PermitReply}.
 *
 * @param urgency 0 is the most urgent
 * @param rate the whole shared rate, as observed by the requesting router
 * @param isForwarded whether this request was forwarded by a router that is not the issuer
 */
public record PermitRequest(PermitKey key, int urgency, SharedRate rate, boolean isForwarded)
        implements PeerMessage {
    private static final int FIELDS = 5;
    static final int MAX_KEY_BYTES = 4 * PermitKey.MAX_CHARS;

    public PermitRequest {
        checkNotNull(key, "key");
        checkNotNull(rate, "rate");
    }

    /** Returns the codec of permit requests with message type {@code type}. */
    public static MessageCodec<PermitRequest> codec(int type) {
        return FieldsCodec.of(
                type, PermitRequest.class, FIELDS, PermitRequest::encode, PermitRequest::decode);
    }

    private static void encode(PermitRequest request, MessagePacker out) throws IOException {
        out.packString(request.key.value()).packInt(request.urgency);
        out.packDouble(request.rate.perSecond()).packDouble(request.rate.burst());
        out.packBoolean(request.isForwarded);
    }

    private static PermitRequest decode(Fields f) throws IOException {
        PermitKey key = new PermitKey(f.text(MAX_KEY_BYTES));
        int urgency = f.int32();
        SharedRate rate = new SharedRate(f.float64(), f.float64());
        return new PermitRequest(key, urgency, rate, f.bool());
    }
}
