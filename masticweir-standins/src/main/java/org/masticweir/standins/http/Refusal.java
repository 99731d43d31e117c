package org.masticweir.standins.http;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The body of an answer that says a request was not admitted.
 *
 * @param admitted always false
 * @param retryAfterMs when coming back can help; 0 when it cannot
 */
public record Refusal(String code, boolean admitted, long retryAfterMs) {
    public Refusal {
        checkNotNull(code, "code");
    }

    public static Refusal of(String code, long retryAfterMs) {
        return new Refusal(code, false, retryAfterMs);
    }
}
