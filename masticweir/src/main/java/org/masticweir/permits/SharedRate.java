package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A rate that all routers share; immutable.
 *
 * @param perSecond uses a second, over all routers
 * @param burst uses that may be saved up
 */
public record SharedRate(double perSecond, double burst) {
    /** Time for which a server's unused requests are saved up, in seconds. */
    private static final double BURST_S = 0.25;

    /** Requests saved up in any case: the next ask comes some time after there is one. */
    private static final double MIN_BURST = 2;

    /**
     * Least rate of a server, in requests a second: its answers are all that tells when it takes
     * more.
     */
    private static final double MIN_PER_SECOND = 0.25;

    /** Span in which an allowance is counted, in seconds. */
    private static final double ALLOWANCE_WINDOW_S = 10;

    /** Parts of an allowance that are granted steadily and at once; the rest is on its way. */
    private static final double STEADY_FRACTION = 0.88;

    private static final double BURST_FRACTION = 0.07;

    public SharedRate {
        checkArgument(perSecond > 0 && Double.isFinite(perSecond), "%s a second", perSecond);
        checkArgument(burst >= 1 && Double.isFinite(burst), "burst of %s", burst);
    }

    /** Returns the rate of a server that limits its requests. */
    public static SharedRate ofServer(double perSecond) {
        double rate = Math.max(MIN_PER_SECOND, perSecond);
        return new SharedRate(rate, Math.max(MIN_BURST, rate * BURST_S));
    }

    /** Returns the rate that stays within an allowance in each span in which it is counted. */
    public static SharedRate ofAllowance(double allowance) {
        double perSecond = allowance * STEADY_FRACTION / ALLOWANCE_WINDOW_S;
        return new SharedRate(perSecond, Math.max(1, allowance * BURST_FRACTION));
    }

    /** Returns what {@code part} of the routers may use without the others. */
    SharedRate scaledBy(double fraction) {
        checkArgument(fraction > 0 && fraction <= 1, "fraction %s", fraction);
        return new SharedRate(perSecond * fraction, Math.max(1, burst * fraction));
    }
}
