package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

/** Status and header fields of an answer; immutable. */
public record HttpHead(int status, HttpHeaders headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    public HttpHead {
        checkNotNull(headers, "headers");
    }

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }
}
