package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.masticweir.id.RouterId;
import org.masticweir.limits.TeamShares;
import org.masticweir.peer.PeerLinks;
import org.masticweir.time.Clock;

/**
 * Tells the other routers of the domain in turn which teams use most here.
 *
 * <p>Failure guarded against: a large team's burst reaches all routers, and each sees only its own
 * part, so small teams wait behind it; see {@link TeamShares}. A few routers are told at a time, so
 * that the bytes do not grow with the domain: 43 routers hear of each other every 22 s, before a
 * digest lapses. Owned by the control thread.
 */
final class ShareExchange {
    /** Routers told in one turn. */
    static final int TOLD_IN_A_TURN = 4;

    private final TeamShares shares;
    private final Supplier<List<RouterId>> peers;
    private final Clock clock;
    private final BiConsumer<RouterId, ShareNews> send;
    private int next;

    /**
     * Creates an exchange that tells nobody before {@link #turn}.
     *
     * @param peers the other serving routers of the domain
     */
    ShareExchange(
            TeamShares shares,
            Supplier<List<RouterId>> peers,
            Clock clock,
            BiConsumer<RouterId, ShareNews> send) {
        this.shares = checkNotNull(shares, "shares");
        this.peers = checkNotNull(peers, "peers");
        this.clock = checkNotNull(clock, "clock");
        this.send = checkNotNull(send, "send");
    }

    /** Registers the handler with {@code links}, and has a turn taken every {@code periodMs}. */
    static void start(
            PeerLinks links,
            TeamShares shares,
            Supplier<List<RouterId>> peers,
            Clock clock,
            ScheduledExecutorService control,
            int periodMs) {
        links.on(
                ShareNews.class,
                (from, news, reply) -> shares.merge(from, news.digest(), clock.nowMs()));
        ShareExchange exchange = new ShareExchange(shares, peers, clock, links::send);
        if (periodMs > 0) {
            control.scheduleWithFixedDelay(
                    exchange::turn, periodMs, periodMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Tells the next few routers. */
    void turn() {
        List<RouterId> all =
                ImmutableList.sortedCopyOf(Comparator.comparing(RouterId::value), peers.get());
        ShareNews news = new ShareNews(shares.digest(clock.nowMs()));
        int told = Math.min(TOLD_IN_A_TURN, all.size());
        for (int i = 0; i < told; i++) {
            send.accept(all.get((next + i) % all.size()), news);
        }
        next = all.isEmpty() ? 0 : (next + told) % all.size();
    }
}
