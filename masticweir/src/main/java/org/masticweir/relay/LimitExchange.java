package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.Executor;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;
import org.masticweir.peer.PeerLinks;
import org.masticweir.permits.BrittleUpdate;
import org.masticweir.permits.LimitUpdate;
import org.masticweir.permits.PermitRequest;
import org.masticweir.permits.RateUsageReport;
import org.masticweir.permits.RoomReport;
import org.masticweir.permits.RoomRequest;
import org.masticweir.permits.SharedLimits;
import org.masticweir.permits.SharedPermits;
import org.masticweir.permits.SharedRooms;

/**
 * Connects the peer links with the shared limits of servers and the shared permits: passes messages
 * and link events on.
 */
final class LimitExchange implements LinkListener {
    private final SharedLimits limits;
    private final SharedPermits permits;
    private final SharedRooms rooms;
    private final Executor traffic;
    private final PeerLinks links;

    /**
     * Creates an exchange that receives nothing before {@link #start}.
     *
     * @param traffic runs all calls to {@code limits} and {@code rooms}
     */
    LimitExchange(
            SharedLimits limits,
            SharedPermits permits,
            SharedRooms rooms,
            Executor traffic,
            PeerLinks links) {
        this.limits = checkNotNull(limits, "limits");
        this.permits = checkNotNull(permits, "permits");
        this.rooms = checkNotNull(rooms, "rooms");
        this.traffic = checkNotNull(traffic, "traffic");
        this.links = checkNotNull(links, "links");
    }

    /** Registers the handlers; call before the links start. */
    void start() {
        links.on(
                LimitUpdate.class,
                (from, m, reply) -> traffic.execute(() -> limits.handleUpdate(from, m)));
        links.on(PermitRequest.class, permits::handleRequest);
        links.on(
                BrittleUpdate.class,
                (from, m, reply) -> traffic.execute(() -> rooms.handleUpdate(from, m)));
        links.on(RoomRequest.class, rooms::handleRequest);
        links.on(RoomReport.class, (from, m, reply) -> rooms.handleReport(from, m));
        links.on(RateUsageReport.class, (from, m, reply) -> permits.handleUsage(m));
        links.listen(this);
    }

    /** Adds a router, regardless of whether the link to that router is up. */
    void addRouter(RouterId router) {
        permits.addRouter(router);
    }

    @Override
    public void linkUp(Hello peer, LinkDirection direction) {
        if (direction == LinkDirection.OUTGOING) {
            permits.onLinkUp(peer.router());
            traffic.execute(() -> limits.snapshot().ifPresent(m -> links.send(peer.router(), m)));
            traffic.execute(() -> rooms.snapshot().ifPresent(m -> links.send(peer.router(), m)));
        }
    }

    @Override
    public void linkDown(RouterId peer, LinkDirection direction) {
        if (direction == LinkDirection.OUTGOING) {
            permits.onLinkDown(peer);
        }
    }
}
