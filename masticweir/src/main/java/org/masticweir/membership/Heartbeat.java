package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/**
 * What a router tells a peer every few seconds, and answers to the same.
 *
 * @param sender who sends it and where it listens
 * @param state what the sender says of itself
 * @param configRevision the revision in force at the sender; 0 before the first
 * @param intervalMs time between the sender's heartbeats to members of its domain; 0 when it did
 *     not say
 * @param domains some of the domains' revisions; the rest follow in later heartbeats
 * @param rumours some routers that the sender hears, so that peers find each other without the
 *     platform
 */
public record Heartbeat(
        RouterAddress sender,
        MemberState state,
        long configRevision,
        LoadDigest load,
        long intervalMs,
        List<DomainRevision> domains,
        List<RouterAddress> rumours)
        implements PeerMessage {
    static final int MAX_DOMAINS = 64;
    static final int MAX_RUMOURS = 8;

    /** Longest interval that is believed, so that no member can keep itself from being suspect. */
    static final long MAX_INTERVAL_MS = 60_000;

    public Heartbeat {
        checkNotNull(sender, "sender");
        checkArgument(state.announced(), "a router does not say %s of itself", state);
        checkArgument(configRevision >= 0, "revision %s", configRevision);
        checkNotNull(load, "load");
        checkArgument(
                intervalMs >= 0 && intervalMs <= MAX_INTERVAL_MS, "interval %s ms", intervalMs);
        domains = ImmutableList.copyOf(domains);
        rumours = ImmutableList.copyOf(rumours);
        checkArgument(domains.size() <= MAX_DOMAINS, "%s domains", domains.size());
        checkArgument(rumours.size() <= MAX_RUMOURS, "%s rumours", rumours.size());
    }

    public static MessageCodec<Heartbeat> codec() {
        return HeartbeatCodec.INSTANCE;
    }
}
