package org.masticweir.quarantine;

/** Whether a request with a given content may be sent to a server now. */
public enum SendRule {
    /** Too little is held against it to matter. */
    ANY_SERVER,
    /** Several servers ended under it; it goes where it can do the least harm. */
    LEAST_LOADED,
    /** Another request with its content is on trial, or the cause of a loss is being found out. */
    WAIT,
    /** It is not sent any more. */
    REJECT
}
