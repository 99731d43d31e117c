package org.masticweir.bench.report;

/**
 * How refused callers came back.
 *
 * @param calls calls that came back at least once
 * @param returns times that callers came back
 * @param withinTarget calls that met their target counted from their last return
 * @param busiestSlot most returns in a quarter of a second
 * @param slots quarters of a second from the first return to the last
 */
public record ReturnCounts(
        long calls, long returns, long withinTarget, long busiestSlot, long slots) {
    /** Returns the counts of a load in which nobody came back. */
    public static ReturnCounts none() {
        return new ReturnCounts(0, 0, 0, 0, 0);
    }

    /** Returns the busiest slot as a multiple of the mean one; 1 is an even spread. */
    public double peak() {
        return returns == 0 ? 0 : (double) busiestSlot * slots / returns;
    }
}
