package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;

/** Status and header fields of an answer; immutable. */
public record HttpHead(int status, HttpHeaders headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String CHUNKED = "chunked";

    public HttpHead {
        checkNotNull(headers, "headers");
    }

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }

    /**
     * Returns whether the body has a length or chunks, or cannot exist. The end of any other body
     * is the end of its connection.
     */
    public boolean isBodyFramed() {
        return status == NO_CONTENT
                || status == NOT_MODIFIED
                || headers.first("Content-Length").isPresent()
                || headers.first("Transfer-Encoding")
                        .filter(v -> Ascii.equalsIgnoreCase(v.trim(), CHUNKED))
                        .isPresent();
    }
}
