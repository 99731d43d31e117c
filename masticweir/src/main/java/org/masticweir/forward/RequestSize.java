package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Cost of a request at an engine, in tokens; immutable. Requests to plain services have the cost 0.
 *
 * @param prompt tokens to prefill
 * @param output maximum number of tokens to generate
 */
public record RequestSize(long prompt, long output) {
    /** Largest accepted total of tokens; sums of such totals over all requests don't overflow. */
    public static final long MAX_TOKENS = 1L << 40;

    private static final RequestSize NONE = new RequestSize(0, 0);

    public RequestSize {
        checkArgument(prompt >= 0 && prompt <= MAX_TOKENS, "prompt of %s tokens", prompt);
        checkArgument(
                output >= 0 && output <= MAX_TOKENS - prompt,
                "output of %s tokens after a prompt of %s",
                output,
                prompt);
    }

    public static RequestSize none() {
        return NONE;
    }

    /** Returns the number of tokens in an engine's memory at the end of the request. */
    public long total() {
        return prompt + output;
    }
}
