/**
 * Admission control: decides which requests are admitted, in which order, and which are refused
 * early enough for the caller to retry.
 *
 * <p>The targets of the classes determine the decisions: a request that is predicted to miss its
 * target is refused at once with a retry delay, classes and teams share the capacity, and
 * recoveries of lost generations start before new requests, in limited numbers.
 */
package org.masticweir.limits;
