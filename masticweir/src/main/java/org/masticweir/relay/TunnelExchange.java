package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.masticweir.id.RouterId;
import org.masticweir.path.ServerDialer;
import org.masticweir.path.TunnelOffer;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;
import org.masticweir.peer.PeerLinks;

/** Offers tunnels to linked routers, and receives their offers; thread-safe. */
final class TunnelExchange implements LinkListener {
    private final PeerLinks links;
    private final Supplier<? extends Iterable<RouterId>> peerIds;
    private final Executor traffic;
    private final ServerDialer dialer;
    private volatile TunnelOffer offer;

    /**
     * Creates an exchange that sends nothing before {@link #start}.
     *
     * @param traffic runs all calls to {@code dialer}
     */
    TunnelExchange(
            PeerLinks links,
            Supplier<? extends Iterable<RouterId>> peerIds,
            Executor traffic,
            ServerDialer dialer,
            TunnelOffer offer) {
        this.links = checkNotNull(links, "links");
        this.peerIds = checkNotNull(peerIds, "peerIds");
        this.traffic = checkNotNull(traffic, "traffic");
        this.dialer = checkNotNull(dialer, "dialer");
        this.offer = checkNotNull(offer, "offer");
    }

    /** Registers the handlers; call before the links start. */
    void start() {
        links.on(
                TunnelOffer.class,
                (from, m, reply) -> traffic.execute(() -> dialer.recordOffer(from, m)));
        links.listen(this);
    }

    /** Tells all linked routers whether this router reaches servers. */
    void update(boolean isOpen) {
        offer = new TunnelOffer(offer.address(), offer.key(), offer.domain(), isOpen);
        peerIds.get().forEach(p -> links.send(p, offer));
    }

    @Override
    public void linkUp(Hello peer, LinkDirection direction) {
        if (direction == LinkDirection.OUTGOING) {
            links.send(peer.router(), offer);
        }
    }

    @Override
    public void linkDown(RouterId peer, LinkDirection direction) {
        if (direction == LinkDirection.INCOMING) {
            traffic.execute(() -> dialer.removeOffer(peer));
        }
    }
}
