/** Measures what the copies of running generations cost a router, by the number of holders. */
package org.masticweir.bench.copies;
