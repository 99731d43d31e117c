package org.masticweir.peer;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.masticweir.id.RouterId;

/**
 * What the links have done since they opened; an immutable snapshot.
 *
 * @param byPeer traffic with each known peer; a forgotten peer's is dropped
 * @param byType traffic of each message type number, over all peers
 * @param unknown frames skipped because their type is not known here
 * @param malformed frames on which a link was closed
 * @param refused messages not queued: no address, link in backoff, or queue full
 */
public record LinkCounters(
        Map<RouterId, Traffic> byPeer,
        Map<Integer, Traffic> byType,
        long unknown,
        long malformed,
        long refused) {
    public LinkCounters {
        byPeer = ImmutableMap.copyOf(byPeer);
        byType = ImmutableMap.copyOf(byType);
    }

    public Traffic peer(RouterId id) {
        return byPeer.getOrDefault(id, Traffic.NONE);
    }

    public Traffic type(int type) {
        return byType.getOrDefault(type, Traffic.NONE);
    }
}
