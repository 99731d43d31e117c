package org.masticweir.quarantine;

/** Whether and where a request with a given content may be sent now; the strictest rule last. */
public enum SendRule {
    /** The request may be sent to any server: fewer than two crashes of its content are counted. */
    ANY_SERVER,
    /**
     * The request may be sent to the least loaded server, where a crash does the least harm:
     * several servers ended while they ran its content.
     */
    LEAST_LOADED,
    /**
     * The request waits: a trial of its content runs, or the cause of a loss is being determined.
     */
    WAIT,
    /** The request must not be sent: its content is in quarantine. */
    REJECT;

    /** Returns the stricter one of this rule and {@code other}. */
    SendRule stricterOf(SendRule other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
