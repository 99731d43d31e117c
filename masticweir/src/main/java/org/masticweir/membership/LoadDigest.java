package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;

/** A router's load in the few numbers that every heartbeat carries. */
public record LoadDigest(int running, int queued, int tokensPerSecond) {
    public static final LoadDigest NONE = new LoadDigest(0, 0, 0);

    public LoadDigest {
        checkArgument(running >= 0, "running %s", running);
        checkArgument(queued >= 0, "queued %s", queued);
        checkArgument(tokensPerSecond >= 0, "tokens per second %s", tokensPerSecond);
    }
}
