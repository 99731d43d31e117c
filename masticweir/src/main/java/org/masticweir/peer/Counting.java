package org.masticweir.peer;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.masticweir.id.RouterId;

/** Counts frames and bytes as they pass; thread-safe. */
final class Counting {
    private final ConcurrentHashMap<RouterId, Traffic> byPeer = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<Integer, Traffic> byType = new ConcurrentHashMap<>();
    private final LongAdder unknown = new LongAdder();
    private final LongAdder malformed = new LongAdder();
    private final LongAdder refused = new LongAdder();

    void in(RouterId peer, int type, int bodyBytes) {
        add(peer, type, new Traffic(1, FrameCodec.LENGTH_BYTES + (long) bodyBytes, 0, 0));
    }

    void out(RouterId peer, int type, int frameBytes) {
        add(peer, type, new Traffic(0, 0, 1, frameBytes));
    }

    /** Counts a frame of an unknown type under no type, so that a peer can't grow the table. */
    void unknown() {
        unknown.increment();
    }

    void malformed() {
        malformed.increment();
    }

    void refused() {
        refused.increment();
    }

    void forget(RouterId peer) {
        byPeer.remove(peer);
    }

    LinkCounters snapshot() {
        return new LinkCounters(byPeer, byType, unknown.sum(), malformed.sum(), refused.sum());
    }

    private void add(RouterId peer, int type, Traffic t) {
        byPeer.merge(peer, t, Traffic::plus);
        byType.merge(type, t, Traffic::plus);
    }
}
