package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What came of one call to a router.
 *
 * @param status the HTTP status; 0 unless the router answered
 * @param text the answer's body, or why there is none
 */
record CallResult(Kind kind, int status, String text) {
    private static final int FIRST_OK = 200;
    private static final int FIRST_NOT_OK = 300;

    CallResult {
        checkNotNull(kind, "kind");
        checkNotNull(text, "text");
    }

    static CallResult answered(int status, String body) {
        return new CallResult(Kind.ANSWERED, status, body);
    }

    static CallResult notReached(String why) {
        return new CallResult(Kind.NOT_REACHED, 0, why);
    }

    static CallResult noAnswer(String why) {
        return new CallResult(Kind.NO_ANSWER, 0, why);
    }

    boolean ok() {
        return kind == Kind.ANSWERED && status >= FIRST_OK && status < FIRST_NOT_OK;
    }

    /** How far a call came. */
    enum Kind {
        /** The whole answer is here. */
        ANSWERED,
        /** Nothing was sent, so nothing was done. */
        NOT_REACHED,
        /** The call may have been carried out. */
        NO_ANSWER
    }
}
