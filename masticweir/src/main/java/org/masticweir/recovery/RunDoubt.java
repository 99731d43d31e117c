package org.masticweir.recovery;

import org.masticweir.error.Verdict;

/** Keeps what is known about whether a request may have run; not thread-safe. */
final class RunDoubt {
    private boolean current;
    private boolean earlier;

    /** Notes that an attempt is sent: from here its engine may run it, whatever answer is lost. */
    void sent() {
        current = true;
    }

    /** Notes that the attempt just sent was surely not run, whatever became of earlier ones. */
    void refused() {
        current = false;
    }

    /** Notes that some attempt ran, or that its fate is unknown for good. */
    void ran() {
        earlier = true;
    }

    boolean mayHaveRun() {
        return current || earlier;
    }

    Verdict verdict() {
        return mayHaveRun() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    }
}
