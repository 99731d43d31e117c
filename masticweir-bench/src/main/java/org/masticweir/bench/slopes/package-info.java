/** Measures what one more router, engine or team costs, and fits a line to it. */
package org.masticweir.bench.slopes;
