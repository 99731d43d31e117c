package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import org.masticweir.standins.http.Refusal;

/** The outcome of asking an engine for a stream: a sequence to read, or a refusal. */
final class Admission {
    private static final int OK = 200;

    private final int status;
    private final Optional<Sequence> sequence;
    private final Optional<Refusal> refusal;

    private Admission(int status, Optional<Sequence> sequence, Optional<Refusal> refusal) {
        checkArgument(sequence.isPresent() != refusal.isPresent(), "either one or the other");
        this.status = status;
        this.sequence = sequence;
        this.refusal = refusal;
    }

    static Admission admitted(Sequence sequence) {
        return new Admission(OK, Optional.of(sequence), Optional.empty());
    }

    static Admission refused(int status, String code, long retryAfterMs) {
        Refusal refusal = Refusal.of(code, retryAfterMs);
        return new Admission(status, Optional.empty(), Optional.of(refusal));
    }

    int status() {
        return status;
    }

    Optional<Sequence> sequence() {
        return sequence;
    }

    Optional<Refusal> refusal() {
        return refusal;
    }
}
