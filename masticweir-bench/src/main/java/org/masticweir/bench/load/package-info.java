/** Open-loop load on routers: arrivals, class mixes, and what the callers saw. */
package org.masticweir.bench.load;
