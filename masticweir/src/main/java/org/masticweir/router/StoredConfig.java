package org.masticweir.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.masticweir.platform.RowKey;

/**
 * The configuration row as the table keeps it.
 *
 * @param document INI text of the deployment
 */
record StoredConfig(long revision, String changeId, String document) {
    /** The row that holds the highest accepted revision. */
    static final RowKey CURRENT = RowKey.of("config", "current");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads the row's value; empty when it is not understood. */
    static Optional<StoredConfig> parse(String value) {
        try {
            JsonNode json = MAPPER.readTree(value);
            long revision = json.path("revision").asLong();
            if (revision < 1) {
                return Optional.empty();
            }
            return Optional.of(
                    new StoredConfig(
                            revision,
                            json.path("change_id").asText(),
                            json.path("document").asText()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
