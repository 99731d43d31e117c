package org.masticweir.bench.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.primitives.ImmutableIntArray;

/**
 * One submission as a caller makes it.
 *
 * @param key idempotency key
 */
public record CallRequest(
        String team,
        String credential,
        String workClass,
        String model,
        String key,
        boolean idempotent,
        ImmutableIntArray prompt,
        String input,
        int maxTokens) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public CallRequest {
        checkNotNull(team, "team");
        checkNotNull(credential, "credential");
        checkNotNull(workClass, "workClass");
        checkNotNull(model, "model");
        checkNotNull(key, "key");
        checkNotNull(prompt, "prompt");
        checkNotNull(input, "input");
    }

    /** Returns an idempotent request for {@code maxTokens} tokens of a model. */
    public static CallRequest of(
            String team,
            String workClass,
            String model,
            String key,
            ImmutableIntArray prompt,
            int maxTokens) {
        return new CallRequest(
                team, team + "-secret", workClass, model, key, true, prompt, "", maxTokens);
    }

    /** Returns the JSON body of the submission. */
    public String body() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("class", workClass);
        json.put("model", model);
        json.put("idempotency_key", key);
        json.put("idempotent", idempotent);
        if (!prompt.isEmpty()) {
            json.set("prompt", MAPPER.valueToTree(prompt.toArray()));
        }
        if (!input.isEmpty()) {
            json.put("input", input);
        }
        json.put("max_tokens", maxTokens);
        json.put("stream", true);
        return json.toString();
    }
}
