/**
 * Decides which engine each attempt goes to, from load reports that lag and caches seen in part.
 *
 * <p>The control thread builds a {@link org.masticweir.routing.RoutingSnapshot} and publishes it;
 * traffic threads ask an {@link org.masticweir.routing.EngineChooser} and count their sends in
 * {@link org.masticweir.routing.InFlight}. No class here does I/O, starts threads or reads a clock.
 */
package org.masticweir.routing;
