package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.WorkClassId;

/**
 * What an attempt needs of an engine; immutable.
 *
 * @param version the version that the generation is pinned to
 * @param promptTokens length of the prompt
 * @param prefixHashes hashes of the prompt's leading blocks, from {@link PrefixBlocks}
 * @param generatedTokens tokens already accepted, which the next engine computes again as prefill
 * @param excluded engines that this generation must not go to
 * @param recovery whether the generation ran on an engine that was lost
 */
public record RouteQuery(
        ModelId model,
        String version,
        WorkClassId workClass,
        int promptTokens,
        List<String> prefixHashes,
        int generatedTokens,
        Set<EngineId> excluded,
        boolean recovery) {
    public RouteQuery {
        checkNotNull(model, "model");
        checkNotNull(version, "version");
        checkNotNull(workClass, "workClass");
        checkArgument(promptTokens >= 0, "prompt of %s tokens", promptTokens);
        checkArgument(generatedTokens >= 0, "%s generated tokens", generatedTokens);
        prefixHashes = ImmutableList.copyOf(checkNotNull(prefixHashes, "prefixHashes"));
        excluded = ImmutableSet.copyOf(checkNotNull(excluded, "excluded"));
    }

    /** Returns the query for the first attempt of a generation. */
    public static RouteQuery first(
            ModelId model,
            String version,
            WorkClassId workClass,
            int promptTokens,
            List<String> prefixHashes) {
        return new RouteQuery(
                model, version, workClass, promptTokens, prefixHashes, 0, ImmutableSet.of(), false);
    }

    /** Returns this query, never to be answered with {@code engine}. */
    public RouteQuery excluding(EngineId engine) {
        Set<EngineId> more = ImmutableSet.<EngineId>builder().addAll(excluded).add(engine).build();
        return new RouteQuery(
                model,
                version,
                workClass,
                promptTokens,
                prefixHashes,
                generatedTokens,
                more,
                recovery);
    }

    /** Returns the query to go on after {@code lost} died with {@code tokens} tokens accepted. */
    public RouteQuery recoveringFrom(EngineId lost, int tokens) {
        Set<EngineId> more = excluding(lost).excluded();
        return new RouteQuery(
                model, version, workClass, promptTokens, prefixHashes, tokens, more, true);
    }

    /** Returns the tokens that an engine with an empty cache has to compute before the next. */
    int contextTokens() {
        return promptTokens + generatedTokens;
    }
}
