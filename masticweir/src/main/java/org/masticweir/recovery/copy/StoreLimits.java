package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a holder keeps at most, and how long.
 *
 * @param maxCopies copies held at once, finished ones included
 * @param maxBytes estimated memory of all copies
 * @param retainMs how long a finished copy stays readable
 * @param abandonMs how long a copy without news is kept; must exceed every class's total time,
 *     since a placement copy hears nothing between two attempts
 */
public record StoreLimits(int maxCopies, long maxBytes, long retainMs, long abandonMs) {
    private static final int MAX_COPIES = 20_000;
    private static final long MAX_BYTES = 64L << 20;
    private static final long RETAIN_MS = 60_000;
    private static final long ABANDON_MS = 7_200_000;

    public StoreLimits {
        checkArgument(maxCopies > 0, "max_copies %s", maxCopies);
        checkArgument(maxBytes > 0, "max_copy_bytes %s", maxBytes);
        checkArgument(retainMs >= 0, "copy_retain_ms %s", retainMs);
        checkArgument(abandonMs > 0, "copy_abandon_ms %s", abandonMs);
    }

    public static StoreLimits defaults() {
        return new StoreLimits(MAX_COPIES, MAX_BYTES, RETAIN_MS, ABANDON_MS);
    }
}
