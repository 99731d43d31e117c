package org.masticweir.http;

/**
 * What the meaning of an answer depends on in its request; immutable.
 *
 * @param isHead whether the answer has no body, whatever its head says
 * @param isConditional whether the request may be answered with 304
 */
record RequestTraits(boolean isHead, boolean isConditional) {
    static final RequestTraits DEFAULTS = new RequestTraits(false, false);

    static RequestTraits of(HttpCall call) {
        HttpHeaders headers = call.headers();
        boolean isConditional =
                headers.first("If-None-Match").isPresent()
                        || headers.first("If-Modified-Since").isPresent();
        return new RequestTraits(call.method().equals("HEAD"), isConditional);
    }
}
