package org.masticweir.standins.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
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

    OptionalLong silenceMs() {
        return optional(fields.silenceMs);
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

    Optional<Boolean> unframed() {
        return Optional.ofNullable(fields.unframed);
    }

    /** Returns the tokens that end the process where they follow one another in a prompt. */
    Optional<List<Integer>> endOnPart() {
        return Optional.ofNullable(fields.endOnPart)
                .or(() -> Optional.ofNullable(fields.endOnToken).map(List::of));
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
            List<Integer> endOnPart,
            Long silenceMs,
            Boolean unframed,
            Boolean dropStreams) {}
}
