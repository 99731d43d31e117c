package org.masticweir.peer;

import java.util.concurrent.LinkedBlockingQueue;
import org.masticweir.id.RouterId;

/** Records that links came up and went down, in order; thread-safe. */
final class SeenLinks implements LinkListener {
    private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();

    /** Returns the queue of "up" and "down" that {@code links} fills from now on. */
    static LinkedBlockingQueue<String> of(PeerLinks links) {
        SeenLinks listener = new SeenLinks();
        links.listen(listener);
        return listener.seen;
    }

    @Override
    public void linkUp(Hello peer, LinkDirection d) {
        seen.add("up");
    }

    @Override
    public void linkDown(RouterId peer, LinkDirection d) {
        seen.add("down");
    }
}
