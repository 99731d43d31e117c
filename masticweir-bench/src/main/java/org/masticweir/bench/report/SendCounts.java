package org.masticweir.bench.report;

/**
 * Runs that engines were asked for; a send that reached no engine is not among them.
 *
 * @param requests requests that any engine was asked to run
 * @param fresh sends from the first token on, refused ones included
 * @param resumed sends that asked for the rest of an answer
 */
public record SendCounts(long requests, long fresh, long resumed) {
    /** Returns all sends for each first one. */
    public double perFirst() {
        return requests == 0 ? 0 : (double) (fresh + resumed) / requests;
    }

    /** Returns the sends from the first token on for each first one. */
    public double freshPerFirst() {
        return requests == 0 ? 0 : (double) fresh / requests;
    }
}
