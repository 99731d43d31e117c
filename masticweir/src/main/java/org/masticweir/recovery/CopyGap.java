package org.masticweir.recovery;

/**
 * Tells whether callers may have been shown tokens of a generation that are not accepted here.
 *
 * <p>So it is after a take-over from a copy without all tokens, until the engine's own stream was
 * read up to where it stood at the take-over: what the lost router showed lies below. Not
 * thread-safe.
 */
final class CopyGap {
    private boolean open;
    private boolean askingHead;
    private int headAtTakeOver = Integer.MAX_VALUE;

    private CopyGap(boolean open) {
        this.open = open;
        askingHead = open;
    }

    /** Returns the gap of a generation whose tokens were all accepted here, or copied. */
    static CopyGap none() {
        return new CopyGap(false);
    }

    /** Returns the gap after a take-over from a copy that may lack tokens. */
    static CopyGap afterPartialCopy() {
        return new CopyGap(true);
    }

    boolean isOpen() {
        return open;
    }

    /** Tells whether the next probe's answer says where the engine stood at the take-over. */
    boolean asksHead() {
        return askingHead;
    }

    /** Takes the head that the engine told. */
    void headIs(int head, int accepted) {
        askingHead = false;
        headAtTakeOver = head;
        accepted(accepted);
    }

    /** Takes the count of accepted tokens, which may close the gap. */
    void accepted(int count) {
        open &= count < headAtTakeOver;
    }

    /** Closes the gap, as the generation was given up. */
    void close() {
        open = false;
    }
}
