/**
 * Passes requests on to backend servers and their answers back: the adapters around {@link
 * org.masticweir.forward}, and the router that joins them.
 *
 * <p>One traffic thread owns all requests, their servers' connections and the state of placement.
 * One control thread owns what is known of the deployment and publishes it as immutable values.
 */
package org.masticweir.relay;
