package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load a back end reported, in the same terms for every vendor; it lags the truth.
 *
 * @param running sequences in the batch
 * @param waiting sequences admitted and not yet in the batch
 * @param capacity sequences that fit the batch, at least 1
 */
public record LoadReport(int running, int waiting, int capacity) {
    public LoadReport {
        checkArgument(running >= 0, "running %s", running);
        checkArgument(waiting >= 0, "waiting %s", waiting);
        checkArgument(capacity >= 1, "capacity %s", capacity);
    }

    public static LoadReport of(int running, int waiting, int capacity) {
        return new LoadReport(running, waiting, capacity);
    }
}
