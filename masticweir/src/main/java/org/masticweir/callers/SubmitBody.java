package org.masticweir.callers;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/** The body of a submission as JSON brings it; every field may be missing. */
record SubmitBody(
        @JsonProperty("class") @Nullable String workClass,
        @Nullable String model,
        @JsonProperty("idempotency_key") @Nullable String key,
        @Nullable Boolean idempotent,
        int @Nullable [] prompt,
        @Nullable String input,
        @JsonProperty("max_tokens") @Nullable Integer maxTokens,
        @Nullable Boolean stream,
        @JsonProperty("allow_reset") @Nullable Boolean allowReset) {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_KEY_CHARS = 256;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** Reads a body; {@code bytes} is the whole of it. */
    static SubmitBody parse(byte[] bytes) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, SubmitBody.class))
                    .orElseThrow(() -> bad("the body is null"));
        } catch (JsonProcessingException e) {
            throw bad("the body is not the JSON object expected: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw bad("the body cannot be read");
        }
    }

    /** Returns the request that this body asks for on behalf of {@code team}. */
    RequestSpec toSpec(TeamId team, CallerLimits limits) {
        int tokens = orElse(maxTokens, DEFAULT_MAX_TOKENS);
        if (tokens < 1 || tokens > limits.maxTokens()) {
            throw bad("max_tokens must be from 1 to " + limits.maxTokens());
        }
        String text = keyText();
        try {
            return new RequestSpec(
                    RequestId.forKey(team, text),
                    team,
                    WorkClassId.of(required(workClass, "class")),
                    ModelId.of(required(model, "model")),
                    orElse(idempotent, true),
                    ImmutableIntArray.copyOf(orElse(prompt, new int[0])),
                    orElse(input, ""),
                    tokens,
                    orElse(allowReset, false));
        } catch (IllegalArgumentException e) {
            throw bad(e.getMessage());
        }
    }

    boolean streams() {
        return orElse(stream, true);
    }

    /**
     * Tells whether the caller named a key, under which it may submit the request elsewhere too.
     */
    boolean keyed() {
        return key != null;
    }

    private String keyText() {
        if (key == null && !orElse(idempotent, true)) {
            throw bad("idempotency_key is required when idempotent is false");
        }
        String text = key == null ? UUID.randomUUID().toString() : key;
        if (text.isEmpty() || text.length() > MAX_KEY_CHARS) {
            throw bad("idempotency_key must have 1 to " + MAX_KEY_CHARS + " characters");
        }
        return text;
    }

    private static <T> T orElse(@Nullable T value, T otherwise) {
        return value == null ? otherwise : value;
    }

    private static String required(@Nullable String value, String name) {
        if (value == null) {
            throw bad(name + " is missing");
        }
        return value;
    }

    private static MasticweirException bad(String message) {
        return MasticweirException.notRun(ErrorCode.BAD_REQUEST, message);
    }
}
