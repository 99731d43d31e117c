/** Faults during a load, and the comparison of two settings of the routers under them. */
package org.masticweir.bench.experiment;
