package org.masticweir.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.masticweir.routing.CacheEvent;

/**
 * An engine's answer to a poll of its cache events.
 *
 * @param next the sequence number to ask for next time
 */
record CacheEventsAnswer(long next, ImmutableList<CacheEvent> events) {
    /** Reads {@code json}; events of a kind not known here are left out. */
    static CacheEventsAnswer of(JsonNode json) {
        ImmutableList.Builder<CacheEvent> events = ImmutableList.builder();
        for (JsonNode event : json.path("events")) {
            kindOf(event.path("kind").asText())
                    .map(k -> new CacheEvent(event.path("seq").asLong(), k, prefixOf(event)))
                    .ifPresent(events::add);
        }
        return new CacheEventsAnswer(json.path("next").asLong(), events.build());
    }

    private static String prefixOf(JsonNode event) {
        return event.path("prefix").asText();
    }

    private static Optional<CacheEvent.Kind> kindOf(String name) {
        return switch (name) {
            case "stored" -> Optional.of(CacheEvent.Kind.STORED);
            case "evicted" -> Optional.of(CacheEvent.Kind.EVICTED);
            default -> Optional.empty();
        };
    }
}
