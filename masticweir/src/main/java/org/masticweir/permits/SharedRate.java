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
    private static final double SAVED_S = 0.25;

    /** Requests saved up in any case: the next ask comes some time after there is one. */
    private static final double LEAST_SAVED = 2;

    /**
     * Least rate of a server, in requests a second: its answers are all that tells when it takes
     * more.
     */
    private static final double LEAST_PER_SECOND = 0.25;

    public SharedRate {
        checkArgument(perSecond > 0 && Double.isFinite(perSecond), "%s a second", perSecond);
        checkArgument(burst >= 1 && Double.isFinite(burst), "burst of %s", burst);
    }

    /** Returns the rate of a server that limits its requests. */
    public static SharedRate ofServer(double perSecond) {
        double rate = Math.max(LEAST_PER_SECOND, perSecond);
        return new SharedRate(rate, Math.max(LEAST_SAVED, rate * SAVED_S));
    }

    /** Returns what {@code part} of the routers may use without the others. */
    SharedRate part(double part) {
        checkArgument(part > 0 && part <= 1, "part %s", part);
        return new SharedRate(perSecond * part, Math.max(1, burst * part));
    }
}
