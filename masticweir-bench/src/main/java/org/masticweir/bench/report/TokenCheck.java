package org.masticweir.bench.report;

/**
 * What a check of callers' tokens against the engines' seeds found.
 *
 * @param checkedCalls calls whose seed an engine told
 * @param uncheckedCalls calls with tokens whose seed no engine told; only their counts were checked
 * @param lost tokens missing from an answer
 * @param repeated tokens that came more than once
 * @param mixed tokens that belong to no index of their generation
 */
public record TokenCheck(
        long checkedCalls, long uncheckedCalls, long lost, long repeated, long mixed) {
    private static final TokenCheck NONE = new TokenCheck(0, 0, 0, 0, 0);

    /** Returns the check of no calls. */
    public static TokenCheck none() {
        return NONE;
    }

    /** Returns both checks as one. */
    public TokenCheck plus(TokenCheck other) {
        return new TokenCheck(
                checkedCalls + other.checkedCalls,
                uncheckedCalls + other.uncheckedCalls,
                lost + other.lost,
                repeated + other.repeated,
                mixed + other.mixed);
    }

    /** Tells whether no token was lost, repeated or mixed. */
    public boolean clean() {
        return lost == 0 && repeated == 0 && mixed == 0;
    }
}
