package org.masticweir.claims;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;

/** The codecs of the messages about claims, for the registry of a router's links. */
public final class ClaimMessageCodecs {
    private static final int CLAIM_OFFER = 72;
    private static final int CLAIM_TAKEN = 73;
    private static final int CLAIM_ANSWER = 74;

    private static final List<ClaimAnswer.Kind> KINDS = List.of(ClaimAnswer.Kind.values());

    private static final MessageCodec<ClaimOffer> OFFER =
            FieldsCodec.of(
                    CLAIM_OFFER,
                    ClaimOffer.class,
                    6,
                    (m, out) -> {
                        out.packLong(m.offer().claim()).packInt(m.offer().ticket());
                        out.packString(m.key()).packLong(m.expectedRevision());
                        out.packBoolean(m.urgent()).packString(m.row());
                    },
                    f ->
                            new ClaimOffer(
                                    new OfferKey(f.int64(), f.int32()),
                                    f.text(ClaimOffer.MAX_KEY_BYTES),
                                    f.int64(),
                                    f.bool(),
                                    f.text(ClaimOffer.MAX_ROW_BYTES)));

    private static final MessageCodec<ClaimTaken> TAKEN =
            FieldsCodec.of(
                    CLAIM_TAKEN,
                    ClaimTaken.class,
                    2,
                    (m, out) -> out.packLong(m.offer().claim()).packInt(m.offer().ticket()),
                    f -> new ClaimTaken(new OfferKey(f.int64(), f.int32())));

    private static final MessageCodec<ClaimAnswer> ANSWER =
            FieldsCodec.of(
                    CLAIM_ANSWER,
                    ClaimAnswer.class,
                    3,
                    (m, out) -> {
                        out.packInt(m.kind().ordinal());
                        out.packLong(m.number()).packString(m.value());
                    },
                    f ->
                            new ClaimAnswer(
                                    KINDS.get(f.int32()),
                                    f.int64(),
                                    f.text(ClaimOffer.MAX_ROW_BYTES)));

    private ClaimMessageCodecs() {}

    /** Returns the codecs; they take the type numbers from 72 to 74. */
    public static ImmutableList<MessageCodec<?>> all() {
        return ImmutableList.of(OFFER, TAKEN, ANSWER);
    }
}
