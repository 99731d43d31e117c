package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.masticweir.engine.Vendor;

/**
 * What one engine stand-in is like.
 *
 * @param maxWaiting sequences that may wait before new ones are refused
 * @param stepMs time of one decode step of the whole batch
 * @param stepPerSequenceUs time that each sequence adds to a step
 * @param keepMs how long a stream without a reader goes on and can be read again
 * @param stampTokens whether each token tells when it was computed, as {@link TokenStamp} does
 */
record EngineSettings(
        InetSocketAddress listen,
        String id,
        Vendor vendor,
        ImmutableList<LoadedModel> models,
        int maxBatch,
        int maxWaiting,
        long stepMs,
        long stepPerSequenceUs,
        long prefillUsPerToken,
        int cacheTokens,
        long loadLagMs,
        long cacheEventLagMs,
        double cacheEventDrop,
        long seed,
        boolean checksFencing,
        long keepMs,
        boolean stampTokens) {
    EngineSettings {
        checkNotNull(listen, "listen");
        checkNotNull(id, "id");
        checkNotNull(vendor, "vendor");
        checkNotNull(models, "models");
        checkArgument(maxBatch >= 1, "max-batch %s is below 1", maxBatch);
        checkArgument(maxWaiting >= 0, "max-waiting %s is below 0", maxWaiting);
        checkArgument(stepMs >= 1, "step-ms %s is below 1", stepMs);
        checkArgument(stepPerSequenceUs >= 0, "step-per-sequence-us %s", stepPerSequenceUs);
        checkArgument(prefillUsPerToken >= 0, "prefill-us-per-token %s", prefillUsPerToken);
        checkArgument(cacheTokens >= 0, "cache-tokens %s is below 0", cacheTokens);
        checkArgument(loadLagMs >= 0, "load-lag-ms %s is below 0", loadLagMs);
        checkArgument(cacheEventLagMs >= 0, "cache-event-lag-ms %s", cacheEventLagMs);
        boolean share = cacheEventDrop >= 0 && cacheEventDrop <= 1;
        checkArgument(share, "cache-event-drop %s is no share", cacheEventDrop);
        checkArgument(keepMs >= 0, "keep-ms %s is below 0", keepMs);
    }
}
