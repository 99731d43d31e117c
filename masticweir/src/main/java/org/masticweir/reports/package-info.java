/**
 * Who reads which engine's report within a failure domain, and what routers tell each other of it;
 * decisions without I/O.
 *
 * <p>One router of the domain reads an engine and tells the others ({@link
 * org.masticweir.reports.ReadingDuty}, {@link org.masticweir.reports.ToldReports}); routers of
 * other domains ask for a few candidates ({@link org.masticweir.reports.FarCandidates}). The
 * adapter is {@code router.ReportSharing}.
 */
package org.masticweir.reports;
