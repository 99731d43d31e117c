package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/**
 * What a caller asked for, fixed for the life of the request.
 *
 * @param prompt token ids for a model; empty for a plain service
 * @param input text for a plain service; empty for a model
 * @param maxTokens count of tokens after which the answer ends
 * @param allowReset whether the caller accepts a new generation after tokens were released
 */
public record RequestSpec(
        RequestId id,
        TeamId team,
        WorkClassId workClass,
        ModelId model,
        boolean idempotent,
        ImmutableIntArray prompt,
        String input,
        int maxTokens,
        boolean allowReset) {
    public RequestSpec {
        checkNotNull(id, "id");
        checkNotNull(team, "team");
        checkNotNull(workClass, "workClass");
        checkNotNull(model, "model");
        checkNotNull(prompt, "prompt");
        checkNotNull(input, "input");
        checkArgument(maxTokens >= 1, "max tokens %s below 1", maxTokens);
    }
}
