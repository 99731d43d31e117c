package org.masticweir.claims;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The codecs of the messages about claims, for the registry of a router's links. */
public final class ClaimMessageCodecs {
    private static final int CLAIM_OFFER = 72;
    private static final int CLAIM_TAKEN = 73;
    private static final int CLAIM_ANSWER = 74;

    private ClaimMessageCodecs() {}

    /** Returns the codecs; they take the type numbers from 72 to 74. */
    public static ImmutableList<MessageCodec<?>> all() {
        return ImmutableList.of(new OfferCodec(), new TakenCodec(), new AnswerCodec());
    }

    /** Writes and reads {@link ClaimOffer}. */
    private static final class OfferCodec implements MessageCodec<ClaimOffer> {
        private static final int FIELDS = 6;

        @Override
        public int type() {
            return CLAIM_OFFER;
        }

        @Override
        public Class<ClaimOffer> messageType() {
            return ClaimOffer.class;
        }

        @Override
        public void encode(ClaimOffer m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS);
            out.packLong(m.offer().claim()).packInt(m.offer().ticket());
            out.packString(m.key()).packLong(m.expectedRevision());
            out.packBoolean(m.urgent()).packString(m.row());
        }

        @Override
        public ClaimOffer decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new ClaimOffer(
                        new OfferKey(f.int64(), f.int32()),
                        f.text(ClaimOffer.MAX_KEY_BYTES),
                        f.int64(),
                        f.bool(),
                        f.text(ClaimOffer.MAX_ROW_BYTES));
            }
        }
    }

    /** Writes and reads {@link ClaimTaken}. */
    private static final class TakenCodec implements MessageCodec<ClaimTaken> {
        private static final int FIELDS = 2;

        @Override
        public int type() {
            return CLAIM_TAKEN;
        }

        @Override
        public Class<ClaimTaken> messageType() {
            return ClaimTaken.class;
        }

        @Override
        public void encode(ClaimTaken m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS);
            out.packLong(m.offer().claim()).packInt(m.offer().ticket());
        }

        @Override
        public ClaimTaken decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new ClaimTaken(new OfferKey(f.int64(), f.int32()));
            }
        }
    }

    /** Writes and reads {@link ClaimAnswer}. */
    private static final class AnswerCodec implements MessageCodec<ClaimAnswer> {
        private static final int FIELDS = 3;
        private static final List<ClaimAnswer.Kind> KINDS = List.of(ClaimAnswer.Kind.values());

        @Override
        public int type() {
            return CLAIM_ANSWER;
        }

        @Override
        public Class<ClaimAnswer> messageType() {
            return ClaimAnswer.class;
        }

        @Override
        public void encode(ClaimAnswer m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS).packInt(m.kind().ordinal());
            out.packLong(m.number()).packString(m.value());
        }

        @Override
        public ClaimAnswer decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                ClaimAnswer.Kind kind = KINDS.get(f.int32());
                return new ClaimAnswer(kind, f.int64(), f.text(ClaimOffer.MAX_ROW_BYTES));
            }
        }
    }
}
