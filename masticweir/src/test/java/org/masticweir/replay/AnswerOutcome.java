package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** What one caller got of its answer, and how often engines were sent the request. */
final class AnswerOutcome {
    private final List<Integer> tokens = new ArrayList<>();
    private int sends;
    private int resets;
    private String verdict = "NONE";

    void release(int token) {
        tokens.add(token);
    }

    void sent() {
        sends++;
    }

    void reset() {
        resets++;
        tokens.clear();
    }

    void end(String how) {
        verdict = how;
    }

    JsonNode toJson() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode list = root.putArray("tokens");
        tokens.forEach(list::add);
        return root.put("resets", resets).put("sends", sends).put("verdict", verdict);
    }
}
