package org.masticweir.generation;

import com.google.common.primitives.ImmutableIntArray;

/** What the assembler made of one frame. */
public sealed interface Acceptance {
    /** The engine echoed the attempt rightly; its tokens follow. */
    record Started() implements Acceptance {}

    /** New tokens, to be released in this order; the first has index {@code from}. */
    record Accepted(int from, ImmutableIntArray tokens) implements Acceptance {}

    /** Nothing new: a repeat, or a frame of an attempt that another one superseded. */
    record Ignored() implements Acceptance {}

    /** Tokens are missing between {@code expected} and what came. */
    record Gap(int expected) implements Acceptance {}

    /** The engine goes on from a wrong index or names another generation; its attempt is void. */
    record WrongEcho() implements Acceptance {}

    /** The answer is whole, with {@code count} tokens. */
    record Whole(int count) implements Acceptance {}
}
