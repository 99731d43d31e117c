package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.WorkClass;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/**
 * New work that asks to be let in; immutable.
 *
 * @param maxTokens most tokens the answer may have, at least 1
 * @param receivedAtMs when the first router took it; its targets count from then
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

    /** Returns the latest moment for the first token. */
    long firstTokenDueMs() {
        return receivedAtMs + workClass.firstTokenMs();
    }

    /** Returns the latest moment for the whole answer. */
    long dueMs() {
        return receivedAtMs + workClass.totalMs();
    }

    /** Returns what the request may cost, in tokens read and written. */
    int maxTotalTokens() {
        return promptTokens + maxTokens;
    }
}
