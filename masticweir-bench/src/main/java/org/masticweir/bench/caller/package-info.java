/** A caller of masticweir that records each token and its time. */
package org.masticweir.bench.caller;
