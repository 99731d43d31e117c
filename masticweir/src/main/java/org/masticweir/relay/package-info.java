/**
 * Forwards requests to backend servers and their answers to callers: adapters around {@link
 * org.masticweir.forward}, and the router that connects the adapters.
 *
 * <p>One traffic thread owns all requests, their connections to servers and the state of server
 * selection. One control thread owns the observed state of the deployment and publishes it as
 * immutable values.
 */
package org.masticweir.relay;
