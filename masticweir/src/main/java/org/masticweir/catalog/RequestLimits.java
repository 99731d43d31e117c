package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on what a caller sends; immutable.
 *
 * @param maxBodyBytes longest body
 */
public record RequestLimits(long maxBodyBytes) {
    public RequestLimits {
        checkArgument(maxBodyBytes >= 1, "max body %s bytes", maxBodyBytes);
    }
}
