package org.masticweir.standins.engine;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** The faults that one call of the control interface asks for; absent ones stay as they are. */
final class ControlRequest {
    private final Fields fields;

    private ControlRequest(Fields fields) {
        this.fields = fields;
    }

    static ControlRequest of(Fields fields) {
        return new ControlRequest(fields);
    }

    OptionalLong pauseMs() {
        return optional(fields.pauseMs);
    }

    OptionalLong refuseMs() {
        return optional(fields.refuseMs);
    }

    OptionalDouble slowFactor() {
        return fields.slowFactor == null
                ? OptionalDouble.empty()
                : OptionalDouble.of(fields.slowFactor);
    }

    Optional<WrongResume> wrongResume() {
        return Optional.ofNullable(fields.wrongResume);
    }

    Optional<Boolean> ignoreFencing() {
        return Optional.ofNullable(fields.ignoreFencing);
    }

    OptionalInt endOnToken() {
        return fields.endOnToken == null ? OptionalInt.empty() : OptionalInt.of(fields.endOnToken);
    }

    boolean dropStreams() {
        return Boolean.TRUE.equals(fields.dropStreams);
    }

    private static OptionalLong optional(Long value) {
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    /** The JSON object as it came, where a field left out is null. */
    record Fields(
            Long pauseMs,
            Double slowFactor,
            WrongResume wrongResume,
            Boolean ignoreFencing,
            Long refuseMs,
            Integer endOnToken,
            Boolean dropStreams) {}
}
