package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/** The reply to a {@link PermitRequest}; immutable. */
public record PermitReply(PermitDecision decision) implements PeerMessage {
    private static final int FIELDS = 2;

    public PermitReply {
        checkNotNull(decision, "decision");
    }

    /** Returns the codec of permit replies with message type {@code type}. */
    public static MessageCodec<PermitReply> codec(int type) {
        return FieldsCodec.of(
                type,
                PermitReply.class,
                FIELDS,
                (m, out) ->
                        out.packBoolean(m.decision.isGranted()).packLong(m.decision.retryAfterMs()),
                f -> new PermitReply(new PermitDecision(f.bool(), f.int64())));
    }
}
