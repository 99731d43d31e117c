package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.WorkClass;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/**
 * A new request to be admitted, queued or refused; immutable.
 *
 * @param maxTokens maximum number of tokens of the answer, at least 1
 * @param receivedAtMs time at which the first router received the request; its targets are relative
 *     to this time
 */
public record AdmissionRequest(
        RequestId id,
        TeamId team,
        WorkClass workClass,
        ModelId model,
        String version,
        int promptTokens,
        int maxTokens,
        long receivedAtMs) {
    public AdmissionRequest {
        checkNotNull(id, "id");
        checkNotNull(team, "team");
        checkNotNull(workClass, "workClass");
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        checkArgument(promptTokens >= 0, "prompt of %s tokens", promptTokens);
        checkArgument(maxTokens >= 1, "at most %s tokens", maxTokens);
    }

    /** Returns the deadline of the first token. */
    long firstTokenDueMs() {
        return receivedAtMs + workClass.firstTokenMs();
    }

    /** Returns the deadline of the whole answer. */
    long dueMs() {
        return receivedAtMs + workClass.totalMs();
    }

    /** Returns the maximum cost of the request: prompt and output tokens. */
    int maxTotalTokens() {
        return promptTokens + maxTokens;
    }
}
