package org.masticweir.it;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Control traffic that a bed's platform and proxy counted, since they started or in a span.
 *
 * @param reads reads of the platform's table
 * @param writes transactions
 * @param platformBytesUp bytes of all calls to the platform, the instance list's included
 * @param platformConnections connections that routers opened to the platform
 * @param peerConnections connections that routers opened to each other
 * @param peerBytes bytes between routers, both ways
 */
record ControlTraffic(
        long reads,
        long writes,
        long platformBytesUp,
        long platformConnections,
        long peerConnections,
        long peerBytes) {
    /** Returns what was counted up to now. */
    static ControlTraffic of(DomainBed bed) {
        long platformBytesUp = 0;
        long platformConnections = 0;
        long peerConnections = 0;
        long peerBytes = 0;
        for (DomainRouter router : bed.routers()) {
            JsonNode peer = bed.proxy().record(DomainRouter.peerRoute(router.id()));
            peerConnections += peer.path("opened").asLong();
            peerBytes += peer.path("bytes_up").asLong() + peer.path("bytes_down").asLong();
            JsonNode platform = bed.proxy().record(DomainRouter.platformRoute(router.id()));
            platformBytesUp += platform.path("bytes_up").asLong();
            platformConnections += platform.path("opened").asLong();
        }
        return new ControlTraffic(
                bed.platformCount("reads"),
                bed.platformCount("writes"),
                platformBytesUp,
                platformConnections,
                peerConnections,
                peerBytes);
    }

    ControlTraffic minus(ControlTraffic before) {
        return new ControlTraffic(
                reads - before.reads,
                writes - before.writes,
                platformBytesUp - before.platformBytesUp,
                platformConnections - before.platformConnections,
                peerConnections - before.peerConnections,
                peerBytes - before.peerBytes);
    }

    /** Returns reads, writes and connections at the platform together. */
    long platformCalls() {
        return reads + writes + platformConnections;
    }
}
