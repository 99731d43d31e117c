package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * How a router is and whom it hears from; immutable.
 *
 * @param configRevision revision in force here, 0 before the first
 * @param requests count of requests without a final outcome
 */
public record StatusAnswer(
        RouterId router,
        DomainId domain,
        RouterState state,
        long configRevision,
        int requests,
        List<Peer> peers,
        PlatformState platform) {
    public StatusAnswer {
        checkNotNull(router, "router");
        checkNotNull(domain, "domain");
        checkNotNull(state, "state");
        peers = ImmutableList.copyOf(peers);
        checkNotNull(platform, "platform");
    }

    /** Another router, as it was last heard of. */
    public record Peer(RouterId router, DomainId domain, RouterState state, long configRevision) {
        public Peer {
            checkNotNull(router, "router");
            checkNotNull(domain, "domain");
            checkNotNull(state, "state");
        }
    }

    /** Whether the platform answered the router's last call. */
    public enum PlatformState {
        REACHABLE,
        UNREACHABLE
    }
}
