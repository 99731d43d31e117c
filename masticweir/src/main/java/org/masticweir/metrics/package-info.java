/**
 * What requests experience, as histograms and counters for each class of work and each team.
 *
 * <p>{@link org.masticweir.metrics.ServingMetrics} records on traffic threads; {@link
 * org.masticweir.metrics.MetricsPage} reads everything in the registry as one JSON object.
 */
package org.masticweir.metrics;
