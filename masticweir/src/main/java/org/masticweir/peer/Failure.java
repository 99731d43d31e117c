package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** The reply to an ask that the other router could not answer. */
record Failure(ErrorCode code, Verdict verdict, String text) implements PeerMessage {
    private static final int TYPE = 2;
    private static final int FIELDS = 3;
    private static final int MAX_NAME_BYTES = 64;
    private static final int MAX_TEXT_CHARS = 200;
    private static final int MAX_TEXT_BYTES = 4 * MAX_TEXT_CHARS;

    /** A code that this version does not know is read as INTERNAL. */
    static final MessageCodec<Failure> CODEC =
            FieldsCodec.of(
                    TYPE,
                    Failure.class,
                    FIELDS,
                    (m, out) -> {
                        out.packString(m.code.name());
                        out.packString(m.verdict.name());
                        out.packString(m.text);
                    },
                    f ->
                            new Failure(
                                    codeOf(f.text(MAX_NAME_BYTES)),
                                    Verdict.valueOf(f.text(MAX_NAME_BYTES)),
                                    f.text(MAX_TEXT_BYTES)));

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

    private static ErrorCode codeOf(String name) {
        for (ErrorCode c : ErrorCode.values()) {
            if (c.name().equals(name)) {
                return c;
            }
        }
        return ErrorCode.INTERNAL;
    }
}
