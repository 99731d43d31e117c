package org.masticweir.standins.http;

/** The load report of vendor COUNTS. */
public record CountsReport(int running, int waiting, int maxBatch) {}
