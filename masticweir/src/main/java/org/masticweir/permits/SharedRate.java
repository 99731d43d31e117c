package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A rate that all routers share; immutable.
 *
 * @param perSecond maximum uses a second by all routers together
 * @param burst maximum number of unused tokens that are saved
 */
public record SharedRate(double perSecond, double burst) {
    /** Time for which unused tokens of a server's limit are saved, in seconds. */
    private static final double BURST_S = 0.25;

    /**
     * Minimum burst. A second token may become available before the next permit request arrives.
     */
    private static final double MIN_BURST = 2;

    /**
     * Minimum rate for a server, in requests a second. Even a server with a limit of 0 needs some
     * requests, as only an answer can announce a higher limit.
     */
    private static final double MIN_PER_SECOND = 0.25;

    /** Window of an allowance, in seconds. */
    private static final double ALLOWANCE_WINDOW_S = 10;

    /**
     * Fractions of an allowance that are granted at a steady rate and as a burst; the rest is a
     * margin for uses in flight.
     */
    private static final double STEADY_FRACTION = 0.88;

    private static final double BURST_FRACTION = 0.07;

    public SharedRate {
        checkArgument(perSecond > 0 && Double.isFinite(perSecond), "%s a second", perSecond);
        checkArgument(burst >= 1 && Double.isFinite(burst), "burst of %s", burst);
    }

    /** Returns the shared rate for a server with a limit of {@code perSecond}. */
    public static SharedRate ofServer(double perSecond) {
        double rate = Math.max(MIN_PER_SECOND, perSecond);
        return new SharedRate(rate, Math.max(MIN_BURST, rate * BURST_S));
    }

    /** Returns the rate that allows at most {@code allowance} uses in every window. */
    public static SharedRate ofAllowance(double allowance) {
        double perSecond = allowance * STEADY_FRACTION / ALLOWANCE_WINDOW_S;
        return new SharedRate(perSecond, Math.max(1, allowance * BURST_FRACTION));
    }

    /** Returns the part of this rate that the given fraction of the routers may grant. */
    SharedRate scaledBy(double fraction) {
        checkArgument(fraction > 0 && fraction <= 1, "fraction %s", fraction);
        return new SharedRate(perSecond * fraction, Math.max(1, burst * fraction));
    }
}
