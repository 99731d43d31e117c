package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** The faults of a run, in any order. */
record FaultSchedule(List<Fault> faults) {
    FaultSchedule {
        faults = ImmutableList.copyOf(faults);
    }

    /** Returns the faults of flags, each {@code at_ms,kind,target[,for_ms[,factor]]}. */
    static FaultSchedule parse(List<String> flags) {
        return new FaultSchedule(flags.stream().map(Fault::parse).toList());
    }

    /** Reads {@code {"faults":[{"at_ms","kind","target","for_ms","factor"}]}}. */
    static FaultSchedule read(Path file) {
        try {
            return JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build()
                    .readValue(Files.readString(file), FaultSchedule.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    FaultSchedule plus(FaultSchedule other) {
        return new FaultSchedule(
                ImmutableList.<Fault>builder().addAll(faults).addAll(other.faults).build());
    }

    /** Refuses a fault of an engine that is not among {@code engines}. */
    void checkEngines(Set<String> engines) {
        for (Fault fault : faults) {
            checkArgument(
                    !fault.kind().strikesEngine() || engines.contains(fault.target()),
                    "no engine %s to %s",
                    fault.target(),
                    fault.kind());
        }
    }
}
