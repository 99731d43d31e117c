package org.masticweir.standins.engine;

/** The load report of vendor SHARES. */
record SharesReport(double batchFill, int queue, int slots) {}
