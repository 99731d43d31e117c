package org.masticweir.serving;

/**
 * Sums over attempts from which an engine's prefill speed and holding time follow; immutable.
 *
 * @param firsts attempts that got their first token
 * @param tokens tokens that they had to compute first
 * @param ms time to their first token
 * @param tokensSquared sum of the squares of the tokens
 * @param tokensByMs sum of tokens times time
 * @param holds attempts that ended
 * @param holdMs time that they kept their place
 */
public record AttemptSums(
        double firsts,
        double tokens,
        double ms,
        double tokensSquared,
        double tokensByMs,
        double holds,
        double holdMs) {
    public static final AttemptSums NONE = new AttemptSums(0, 0, 0, 0, 0, 0, 0);

    AttemptSums withFirst(double x, double y) {
        return new AttemptSums(
                firsts + 1,
                tokens + x,
                ms + y,
                tokensSquared + x * x,
                tokensByMs + x * y,
                holds,
                holdMs);
    }

    AttemptSums withHold(double y) {
        return new AttemptSums(
                firsts, tokens, ms, tokensSquared, tokensByMs, holds + 1, holdMs + y);
    }
}
