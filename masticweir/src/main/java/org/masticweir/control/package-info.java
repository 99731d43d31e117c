/**
 * Duties that need one holder: leases, the orders to engines, the loads from the weight store.
 *
 * <p>The decisions ({@link org.masticweir.control.LeaseState}, {@link
 * org.masticweir.control.OrderState}, {@link org.masticweir.control.WeightLoads}) are pure: events
 * and the time go in, actions come out. {@link org.masticweir.control.DomainController} drives them
 * over the platform's table and the engines' HTTP interface, on the control thread.
 */
package org.masticweir.control;
