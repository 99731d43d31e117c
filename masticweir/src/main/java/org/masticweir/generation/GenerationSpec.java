package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import org.masticweir.config.Model;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/**
 * What is fixed for one generation, whichever engines it passes through.
 *
 * @param seed sampling seed; differs between the generations of one request
 */
public record GenerationSpec(GenerationId id, String version, String adapter, long seed) {
    private static final int LAST_FIRST_NUMBER = 1 << 30;
    private static final long NON_NEGATIVE = 0x7fff_ffffL;

    public GenerationSpec {
        checkNotNull(id, "id");
        checkNotNull(version, "version");
        checkNotNull(adapter, "adapter");
    }

    /**
     * Returns the first generation of a run of {@code request}.
     *
     * <p>A key may be used again after a run that failed: runs must not share a generation, or a
     * caller who comes back could be given the rest of another run's answer.
     */
    public static GenerationSpec firstOf(RequestId request, Model model) {
        int number = ThreadLocalRandom.current().nextInt(1, LAST_FIRST_NUMBER);
        return pin(GenerationId.of(request, number), model);
    }

    /** Returns another generation of the same version; for a model no longer declared. */
    public GenerationSpec numbered(GenerationId other) {
        return new GenerationSpec(other, version, adapter, seedOf(other));
    }

    /** Returns the generation {@code id}, pinned to what {@code model} declares now. */
    public static GenerationSpec pin(GenerationId id, Model model) {
        checkNotNull(model, "model");
        return new GenerationSpec(id, model.version(), model.adapter(), seedOf(id));
    }

    private static long seedOf(GenerationId id) {
        long hash = Hashing.sha256().hashString(id.toString(), StandardCharsets.UTF_8).asLong();
        return hash & NON_NEGATIVE;
    }
}
