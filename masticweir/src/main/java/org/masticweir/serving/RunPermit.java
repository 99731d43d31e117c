package org.masticweir.serving;

/** Says, right before a send, whether a request may still be sent to a back end. */
interface RunPermit {
    /** Allows every send; for requests that may run more than once. */
    RunPermit ALWAYS = nowMs -> true;

    /** Tells whether a send at {@code nowMs} is allowed. */
    boolean maySend(long nowMs);
}
