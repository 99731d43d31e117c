/**
 * The platform's services behind small interfaces: tables, the instance list, the weight store.
 *
 * <p>Every call has a deadline and one of three outcomes: done, certainly not done, or unknown. A
 * write whose request may have left and whose answer did not come is unknown, never "not done".
 */
package org.masticweir.store;
