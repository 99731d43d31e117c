/** Results of load and experiments: JSON, an HTML page with plots, and one summary line. */
package org.masticweir.bench.report;
