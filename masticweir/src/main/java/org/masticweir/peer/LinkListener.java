package org.masticweir.peer;

import org.masticweir.id.RouterId;

/**
 * Hears of links that come up and go down.
 *
 * <p>Runs on the links' one thread and must not block.
 */
public interface LinkListener {
    void linkUp(Hello peer, LinkDirection direction);

    /** The link broke or the peer closed it; one that this router gave up is not told of. */
    void linkDown(RouterId peer, LinkDirection direction);
}
