package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;

/**
 * An engine's records at one moment.
 *
 * @param refusals request of each run that it did not admit
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineReading(
        List<Run> generations, long prefillTokens, long decodeTokens, List<String> refusals) {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .build();

    EngineReading {
        generations = ImmutableList.copyOf(generations);
        refusals = ImmutableList.copyOf(refusals);
    }

    /** One attempt as the engine recorded it. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Run(String request, int generation, int attempt, long seed, int first, int produced) {
        Run {
            checkNotNull(request, "request");
        }
    }

    /** Reads the answer of the control interface; empty when the engine gave none. */
    static Optional<EngineReading> of(JsonNode records) {
        if (!records.has("generations")) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.treeToValue(records, EngineReading.class));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
