package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What every engine that goes on with a generation must have loaded; immutable.
 *
 * @param version version of the model
 * @param adapter adapter loaded with it; empty for none
 */
public record PinnedVersion(String version, String adapter) {
    public PinnedVersion {
        checkNotNull(version, "version");
        checkNotNull(adapter, "adapter");
        checkArgument(!version.isEmpty(), "no version");
    }

    public static PinnedVersion of(String version, String adapter) {
        return new PinnedVersion(version, adapter);
    }
}
