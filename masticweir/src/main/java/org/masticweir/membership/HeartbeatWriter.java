package org.masticweir.membership;

import java.util.ArrayList;
import java.util.List;
import org.masticweir.id.RouterId;

/**
 * Composes heartbeats; owned by the control thread.
 *
 * <p>Each carries news first and otherwise a little of what is known, in turn, so that its size
 * depends neither on the count of domains nor on that of routers.
 */
final class HeartbeatWriter {
    /** How long something counts as news; some heartbeats to every peer fall into it. */
    static final long NEWS_MS = 10_000;

    /** Most rumours and most domains' revisions in one heartbeat. */
    static final int MAX_NEWS = 2;

    /** A rumour that is no news goes along with every so many heartbeats to a peer. */
    private static final int RUMOUR_EVERY = 4;

    private final RouterAddress self;
    private final MemberTable members;
    private final DomainTable domains;

    HeartbeatWriter(RouterAddress self, MemberTable members, DomainTable domains) {
        this.self = self;
        this.members = members;
        this.domains = domains;
    }

    Heartbeat compose(
            MembershipEvent.OwnState own, long intervalMs, RouterId to, long turn, long nowMs) {
        long sinceMs = nowMs - NEWS_MS;
        return new Heartbeat(
                self,
                own.state(),
                own.configRevision(),
                own.load(),
                intervalMs,
                domains.toTell(MAX_NEWS, turn, sinceMs),
                rumours(to, turn, sinceMs));
    }

    private List<RouterAddress> rumours(RouterId to, long turn, long sinceMs) {
        List<RouterAddress> live = new ArrayList<>();
        List<RouterAddress> news = new ArrayList<>();
        for (MemberEntry e : members.all()) {
            if (e.live() && !e.router().equals(to)) {
                live.add(e.where());
                if (news.size() < MAX_NEWS && e.heardFirstSince(sinceMs)) {
                    news.add(e.where());
                }
            }
        }
        if (!news.isEmpty() || live.isEmpty() || turn % RUMOUR_EVERY != 0) {
            return news;
        }
        return List.of(live.get((int) (turn / RUMOUR_EVERY % live.size())));
    }
}
