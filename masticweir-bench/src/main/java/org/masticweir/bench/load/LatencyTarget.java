package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

/** The longest waits within which an answer is worth its full value. */
record LatencyTarget(long firstTokenMs, long totalMs) {
    LatencyTarget {
        checkArgument(firstTokenMs > 0, "first token %s ms", firstTokenMs);
        checkArgument(totalMs >= firstTokenMs, "total %s ms", totalMs);
    }

    boolean met(long firstToken, long total) {
        return firstToken <= firstTokenMs && total <= totalMs;
    }
}
