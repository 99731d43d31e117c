package org.masticweir.config;

/** What is known of a write to the table. */
public enum WriteOutcome {
    /** The table said that it holds the rows. */
    DONE,
    /** A check failed: another write came first, which may be an earlier try of the same change. */
    CONFLICT,
    /** The write was never sent, or was refused before it took effect. */
    NOT_DONE,
    /** No answer came: the write may have taken effect, or may yet. */
    UNKNOWN
}
