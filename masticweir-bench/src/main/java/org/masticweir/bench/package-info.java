/** Load, experiments, reports and plots. */
package org.masticweir.bench;
