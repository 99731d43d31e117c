package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.WorkClass;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;

/**
 * A generation whose engine was lost and that has to continue on another engine; immutable.
 *
 * @param contextTokens tokens of the prompt and the accepted output, recomputed before the next
 *     token
 * @param dueMs deadline of the whole answer
 */
public record RecoveryRequest(
        GenerationId generation,
        WorkClass workClass,
        ModelId model,
        String version,
        int contextTokens,
        long dueMs) {
    public RecoveryRequest {
        checkNotNull(generation, "generation");
        checkNotNull(workClass, "workClass");
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        checkArgument(contextTokens >= 0, "context of %s tokens", contextTokens);
    }
}
