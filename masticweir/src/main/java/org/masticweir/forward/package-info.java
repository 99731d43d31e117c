/**
 * Decides where one request goes, and where it goes on after a failure: placement, silence bounds,
 * retries, refusals.
 *
 * <p>No class here reads a clock, a socket or a thread: time comes in as a value, and what to do
 * comes out as one.
 */
package org.masticweir.forward;
