package org.masticweir.bench.copies;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkSettings;
import org.masticweir.peer.MessageRegistry;
import org.masticweir.peer.PeerLinks;
import org.masticweir.recovery.copy.CopyLinkLimits;
import org.masticweir.recovery.copy.CopyLinks;
import org.masticweir.recovery.copy.CopyMessageCodecs;
import org.masticweir.recovery.copy.CopyStore;
import org.masticweir.recovery.copy.StoreLimits;
import org.masticweir.time.Clock;

/** The links and copies of one router over loopback, without the rest of it; thread-safe. */
final class CopyNode implements AutoCloseable {
    private static final long SEED = 42;

    private final RouterId id;
    private final PeerLinks links;
    private final CopyLinks copies;

    private CopyNode(RouterId id, CopyLinkLimits limits, Clock clock) {
        this.id = checkNotNull(id, "id");
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        links =
                PeerLinks.open(
                        LinkSettings.of(any, SEED),
                        Hello.of(id, 1, DomainId.of("d")),
                        MessageRegistry.of(CopyMessageCodecs.all()),
                        clock);
        CopyStore store = CopyStore.within(StoreLimits.defaults());
        copies = CopyLinks.open(links, id, store, request -> Optional.empty(), clock, limits);
        links.start();
    }

    static CopyNode start(String id, CopyLinkLimits limits, Clock clock) {
        return new CopyNode(RouterId.of(id), limits, clock);
    }

    /** Lets this router dial {@code other}. */
    void learn(CopyNode other) {
        links.learn(other.id, other.links.address());
    }

    RouterId id() {
        return id;
    }

    CopyLinks copies() {
        return copies;
    }

    @Override
    public void close() {
        links.close();
    }
}
