package org.masticweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.limits.TeamShares;
import org.masticweir.time.ManualClock;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Who is told of teams' use, and what. */
class ShareExchangeTest {
    private static final int DOMAIN = 42;
    private static final long PERIOD_MS = 2_000;
    private static final long LAPSE_MS = 30_000;
    private static final int MAX_BYTES = 400;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final TeamShares shares = TeamShares.create(RouterId.of("self"), team -> 1);
    private final List<RouterId> told = new ArrayList<>();

    private ShareExchange exchange(int peers) {
        ImmutableList<RouterId> routers =
                IntStream.range(0, peers)
                        .mapToObj(i -> RouterId.of("r" + i))
                        .collect(ImmutableList.toImmutableList());
        return new ShareExchange(shares, () -> routers, clock, (to, news) -> told.add(to));
    }

    @Test
    void aLargeDomainIsToldInTurnsBeforeDigestsLapse() {
        ShareExchange exchange = exchange(DOMAIN);
        for (long ms = 0; ms < LAPSE_MS - PERIOD_MS; ms += PERIOD_MS) {
            exchange.turn();
            assertTrue(told.size() <= (ms / PERIOD_MS + 1) * ShareExchange.TOLD_IN_A_TURN);
        }
        assertEquals(DOMAIN, new HashSet<>(told).size());
    }

    @Test
    void aSmallDomainIsToldEachTime() {
        ShareExchange exchange = exchange(1);
        exchange.turn();
        exchange.turn();
        assertEquals(2, told.size());
    }

    @Test
    void aRouterAloneTellsNobody() {
        exchange(0).turn();
        assertEquals(0, told.size());
    }

    @Test
    void newsComeAsTheyWentAndStaySmall() throws IOException {
        IntStream.range(0, 4_500)
                .forEach(i -> shares.recordUsage(TeamId.of("team-" + i), 10_000, 0));
        ShareNews news = new ShareNews(shares.digest(0));
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            ShareNews.CODEC.encode(news, out);
            byte[] bytes = out.toByteArray();
            assertTrue(bytes.length < MAX_BYTES, bytes.length + " bytes");
            assertEquals(news, ShareNews.CODEC.decode(MessagePack.newDefaultUnpacker(bytes)));
        }
    }
}
