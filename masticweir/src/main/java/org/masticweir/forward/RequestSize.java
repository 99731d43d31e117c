package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Cost of a request at an engine, in tokens; immutable. Requests to plain services have the cost 0.
 *
 * @param prompt tokens to prefill
 * @param output maximum number of tokens to generate
 */
public record RequestSize(long prompt, long output) {
    private static final RequestSize NONE = new RequestSize(0, 0);

    public RequestSize {
        checkArgument(prompt >= 0, "prompt of %s tokens", prompt);
        checkArgument(output >= 0, "output of %s tokens", output);
    }

    public static RequestSize none() {
        return NONE;
    }

    /** Returns the number of tokens in an engine's memory at the end of the request. */
    public long total() {
        return prompt + output;
    }
}
