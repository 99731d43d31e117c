package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.masticweir.config.Model;
import org.masticweir.id.GenerationId;

/**
 * What is fixed for one generation, whichever engines it passes through.
 *
 * @param seed sampling seed; differs between the generations of one request
 */
public record GenerationSpec(GenerationId id, String version, String adapter, long seed) {
    private static final long NON_NEGATIVE = 0x7fff_ffffL;

    public GenerationSpec {
        checkNotNull(id, "id");
        checkNotNull(version, "version");
        checkNotNull(adapter, "adapter");
    }

    /** Returns the generation {@code id}, pinned to what {@code model} declares now. */
    public static GenerationSpec pin(GenerationId id, Model model) {
        checkNotNull(model, "model");
        long hash = Hashing.sha256().hashString(id.toString(), StandardCharsets.UTF_8).asLong();
        return new GenerationSpec(id, model.version(), model.adapter(), hash & NON_NEGATIVE);
    }
}
