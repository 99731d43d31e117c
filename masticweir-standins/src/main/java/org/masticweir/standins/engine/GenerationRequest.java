package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.MoreObjects;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/**
 * The body that starts an attempt.
 *
 * @param prefix tokens already accepted; the engine goes on after them
 * @param maxTokens count of all tokens wanted, prefix included
 * @param priority lower values enter the batch first
 */
record GenerationRequest(
        String request,
        int generation,
        int attempt,
        String model,
        String version,
        String adapter,
        long seed,
        List<Integer> prompt,
        List<Integer> prefix,
        int maxTokens,
        int priority) {
    private static final int MAX_TOKENS_LIMIT = 1_000_000;

    GenerationRequest {
        checkNotNull(request, "request");
        checkArgument(attempt >= 1, "attempt %s", attempt);
        checkArgument(maxTokens >= 1 && maxTokens <= MAX_TOKENS_LIMIT, "max_tokens %s", maxTokens);
        checkArgument(model != null && version != null, "model and version are needed");
        adapter = Strings.nullToEmpty(adapter);
        prompt = ImmutableList.copyOf(MoreObjects.firstNonNull(prompt, ImmutableList.of()));
        prefix = ImmutableList.copyOf(MoreObjects.firstNonNull(prefix, ImmutableList.of()));
        checkArgument(prefix.size() <= maxTokens, "prefix longer than max_tokens");
    }

    GenerationId id() {
        return GenerationId.of(RequestId.of(request), generation);
    }

    LoadedModel wanted() {
        return new LoadedModel(model, version, adapter);
    }
}
