package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
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

    /** The shortest time for which claims are kept, in milliseconds; see the daemon's settings. */
    private static final long CLAIM_PERIOD_MS = 15 * 60_000;

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
    public static GenerationSpec firstOf(RequestId request, PinnedVersion version) {
        int number = ThreadLocalRandom.current().nextInt(1, LAST_FIRST_NUMBER);
        return pin(GenerationId.of(request, number), version);
    }

    /**
     * Returns the only generation of {@code request}, which runs under a claim; alike at every
     * router.
     *
     * <p>A router that gives out the answer which the claim's row kept has to name the generation
     * that ran: under a number of its own, a caller who comes back with the number it knows is told
     * that its tokens are void. The number changes with time, as the key may run anew when its row
     * is gone, and those two runs must not share it. An answer that is asked for across such a
     * change comes under another number than it ran.
     *
     * @param wallMs wall time
     */
    public static GenerationSpec claimed(RequestId request, PinnedVersion version, long wallMs) {
        String run = request + "/" + wallMs / CLAIM_PERIOD_MS;
        long hash = Hashing.sha256().hashString(run, StandardCharsets.UTF_8).asLong();
        int number = 1 + (int) Math.floorMod(hash, (long) LAST_FIRST_NUMBER - 1);
        return pin(GenerationId.of(request, number), version);
    }

    /** Returns another generation of the same version; for a model no longer declared. */
    public GenerationSpec numbered(GenerationId other) {
        return new GenerationSpec(other, version, adapter, seedOf(other));
    }

    /** Returns the generation {@code id}, pinned to {@code version}. */
    public static GenerationSpec pin(GenerationId id, PinnedVersion version) {
        checkNotNull(version, "version");
        return new GenerationSpec(id, version.version(), version.adapter(), seedOf(id));
    }

    private static long seedOf(GenerationId id) {
        long hash = Hashing.sha256().hashString(id.toString(), StandardCharsets.UTF_8).asLong();
        return hash & NON_NEGATIVE;
    }
}
