package org.masticweir.replay;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A recorded trace: what happened and when, and the outcomes stated for it; immutable.
 *
 * <p>The text has one JSON object a line. Each has a time and an event, but for the last one, which
 * states the outcome for the product and the wrong one that the plain policy comes to.
 */
record Trace(List<Event> events, JsonNode outcome, JsonNode plainOutcome) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** One line: its time, what happened, and the fields of that. */
    record Event(long atMs, String kind, JsonNode fields) {
        String text(String field) {
            return fields.path(field).asText();
        }

        int number(String field) {
            return fields.path(field).asInt();
        }

        int number(String field, int absent) {
            return fields.path(field).asInt(absent);
        }

        boolean flag(String field) {
            return fields.path(field).asBoolean();
        }
    }

    /** Reads the trace {@code name} from the class path. */
    static Trace read(String name) throws IOException {
        String text =
                Resources.toString(
                        Resources.getResource("traces/" + name + ".jsonl"), StandardCharsets.UTF_8);
        List<String> lines = text.lines().toList();
        ImmutableList.Builder<Event> events = ImmutableList.builder();
        long lastMs = 0;
        for (String line : lines.subList(0, lines.size() - 1)) {
            Event event = event(line);
            checkArgument(event.atMs() >= lastMs, "trace %s goes back in time: %s", name, line);
            lastMs = event.atMs();
            events.add(event);
        }
        JsonNode stated = MAPPER.readTree(lines.get(lines.size() - 1));
        checkArgument(stated.has("outcome"), "trace %s states no outcome", name);
        checkArgument(stated.has("plain"), "trace %s states no plain outcome", name);
        return new Trace(events.build(), stated.get("outcome"), stated.get("plain"));
    }

    private static Event event(String line) throws IOException {
        JsonNode fields = MAPPER.readTree(line);
        return new Event(fields.get("at_ms").asLong(), fields.get("event").asText(), fields);
    }
}
