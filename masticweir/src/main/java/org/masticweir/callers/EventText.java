package org.masticweir.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.ImmutableIntArray;
import java.nio.charset.StandardCharsets;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** Writes answers as server-sent events. */
final class EventText {
    static final byte[] NOTHING = {};

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EventText() {}

    /** A comment, which callers skip; it carries the answer headers out at once. */
    static byte[] accepted() {
        return bytes(": accepted\n\n");
    }

    /** One event for each token; the first has index {@code from}. */
    static byte[] tokens(int generation, int from, ImmutableIntArray tokens) {
        StringBuilder out = new StringBuilder(48 * tokens.length());
        for (int i = 0; i < tokens.length(); i++) {
            out.append("id: ").append(generation).append(':').append(from + i);
            out.append("\ndata: {\"token\":").append(tokens.get(i)).append("}\n\n");
        }
        return bytes(out.toString());
    }

    /** The event that voids everything before it. */
    static byte[] reset(int generation) {
        return bytes("event: reset\ndata: {\"generation\":" + generation + "}\n\n");
    }

    /** The event that says the answer is whole; a plain service's carries its text. */
    static byte[] end(int generation, int tokens, String result) {
        if (tokens == 0) {
            String text = MAPPER.createObjectNode().put("result", result).toString();
            String fields = text.substring(1);
            return bytes(
                    "event: end\ndata: {\"verdict\":\""
                            + Verdict.COMPLETED
                            + "\","
                            + fields
                            + "\n\n");
        }
        return bytes(
                "event: end\ndata: {\"verdict\":\""
                        + Verdict.COMPLETED
                        + "\",\"generation\":"
                        + generation
                        + ",\"tokens\":"
                        + tokens
                        + "}\n\n");
    }

    /** The event that carries the one final error. */
    static byte[] error(MasticweirException error) {
        return bytes("event: error\ndata: " + ErrorAnswer.json(error) + "\n\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
