package org.masticweir.bench.report;

/**
 * Output in one interval of a load.
 *
 * @param atMs start of the interval, from the start of the load
 * @param tokens tokens that reached callers in it
 */
public record TimelinePoint(long atMs, long tokens) {}
