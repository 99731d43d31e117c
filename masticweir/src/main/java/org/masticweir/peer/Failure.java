package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The reply to an ask that the other router could not answer. */
record Failure(ErrorCode code, Verdict verdict, String text) implements PeerMessage {
    static final MessageCodec<Failure> CODEC = new Codec();

    private static final int MAX_TEXT_CHARS = 200;

    Failure {
        checkNotNull(code, "code");
        checkNotNull(verdict, "verdict");
        text = text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS);
    }

    static Failure of(MasticweirException e) {
        return new Failure(e.code(), e.verdict(), String.valueOf(e.getMessage()));
    }

    MasticweirException toException() {
        return MasticweirException.of(code, verdict, text);
    }

    /** Writes and reads {@link Failure}; a code that this version does not know is INTERNAL. */
    private static final class Codec implements MessageCodec<Failure> {
        private static final int TYPE = 2;
        private static final int FIELDS = 3;
        private static final int MAX_NAME_BYTES = 64;
        private static final int MAX_TEXT_BYTES = 4 * MAX_TEXT_CHARS;

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<Failure> messageType() {
            return Failure.class;
        }

        @Override
        public void encode(Failure m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS);
            out.packString(m.code.name());
            out.packString(m.verdict.name());
            out.packString(m.text);
        }

        @Override
        public Failure decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                ErrorCode code = codeOf(f.text(MAX_NAME_BYTES));
                Verdict verdict = Verdict.valueOf(f.text(MAX_NAME_BYTES));
                return new Failure(code, verdict, f.text(MAX_TEXT_BYTES));
            }
        }

        private static ErrorCode codeOf(String name) {
            for (ErrorCode c : ErrorCode.values()) {
                if (c.name().equals(name)) {
                    return c;
                }
            }
            return ErrorCode.INTERNAL;
        }
    }
}
