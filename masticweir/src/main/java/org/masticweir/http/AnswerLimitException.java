package org.masticweir.http;

import java.io.IOException;

/** Reports an answer that exceeds a limit of this process; the peer has not closed. */
public final class AnswerLimitException extends IOException {
    private static final long serialVersionUID = 1L;

    public AnswerLimitException(String message) {
        super(message);
    }
}
