package org.masticweir.http;

import java.io.IOException;

/** Reports bytes that are no answer in HTTP/1.1; the exchange ends as on a broken connection. */
final class MalformedAnswerException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
        super(message);
    }
}
