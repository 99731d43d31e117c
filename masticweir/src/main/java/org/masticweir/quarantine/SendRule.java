package org.masticweir.quarantine;

/** Whether and where a request with a given content may be sent now. */
public enum SendRule {
    /** May be sent to any server: there is no or little evidence against its content. */
    ANY_SERVER,
    /**
     * May be sent to the server where a crash does the least harm: several servers ended under it.
     */
    LEAST_LOADED,
    /** Waits: another request with its content is on trial, or a loss is being investigated. */
    WAIT,
    /** Must not be sent: its content is in quarantine. */
    REJECT
}
