package org.masticweir.peer;

import org.masticweir.id.RouterId;

/** Takes messages of one class from other routers. */
@FunctionalInterface
public interface Handler<T extends PeerMessage> {
    /**
     * Takes {@code message}.
     *
     * <p>Runs on the links' one thread and must not block: whatever waits belongs on another
     * thread, from which {@code reply} may be answered later. An exception is sent to the asker.
     */
    void handle(RouterId from, T message, Reply reply);
}
