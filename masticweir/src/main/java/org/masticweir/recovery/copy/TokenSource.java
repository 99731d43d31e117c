package org.masticweir.recovery.copy;

import com.google.common.primitives.ImmutableIntArray;

/** Gives the accepted tokens of a request's current generation, as the answer log keeps them. */
@FunctionalInterface
public interface TokenSource {
    /** Returns the tokens from {@code from} to below {@code to}. */
    ImmutableIntArray accepted(int from, int to);
}
