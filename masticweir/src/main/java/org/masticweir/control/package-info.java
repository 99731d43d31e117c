/**
 * Duties that need one holder: leases, the orders to engines, the loads from the weight store.
 *
 * <p>Everything here is a pure decision: events and the time go in, actions come out.
 */
package org.masticweir.control;
