/**
 * Decides where a request is sent and where the run continues after a failure: server selection,
 * silence timeouts, retries and refusals.
 *
 * <p>No class here reads a clock, a socket or a thread: time is passed in as a value, and the next
 * step is returned as a value.
 */
package org.masticweir.forward;
