package org.masticweir.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.time.Clock;
import org.masticweir.time.ManualClock;

/** Links that bring nothing any more, though no side closed them. */
class SilentLinkTest {
    private static final RouterId A = RouterId.of("a");
    private static final RouterId B = RouterId.of("b");
    private static final DomainId DOMAIN = DomainId.of("d1");
    private static final long LONG_MS = 600_000;
    private static final long WAIT_S = 20;

    /** A note with this number gets no reply. */
    private static final int UNANSWERED = -1;

    private final List<PeerLinks> open = new ArrayList<>();

    @AfterEach
    void closeAll() {
        open.forEach(PeerLinks::close);
    }

    private PeerLinks links(RouterId id, Clock clock) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PeerLinks l =
                PeerLinks.open(
                        LinkSettings.of(any, 42),
                        Hello.of(id, 1, DOMAIN),
                        MessageRegistry.of(List.of(Note.Codec.plain())),
                        clock);
        open.add(l);
        l.on(
                Note.class,
                (from, note, reply) -> {
                    if (note.number() != UNANSWERED) {
                        reply.send(note);
                    }
                });
        l.start();
        return l;
    }

    private static CompletableFuture<PeerMessage> ask(PeerLinks from, int number) {
        return from.ask(B, new Note(number, ""), LONG_MS);
    }

    private static PeerMessage get(CompletableFuture<PeerMessage> f) throws Exception {
        return f.get(WAIT_S, TimeUnit.SECONDS);
    }

    /**
     * A caller's answer stands still: its tokens wait for a copy at a peer behind a partition that
     * drops packets. No reset comes, so that the ask would wait for its own time-out or for TCP. It
     * fails within seconds; after the partition the link comes back by itself, without a flood.
     */
    @Test
    void linkThroughAPartitionIsFoundDeadAndComesBack() throws Exception {
        PeerLinks a = links(A, Clock.system());
        PeerLinks b = links(B, Clock.system());
        try (StallingRelay relay = StallingRelay.to(b.address())) {
            a.learn(B, relay.address());
            get(ask(a, 1));
            LinkedBlockingQueue<String> seen = SeenLinks.of(a);
            relay.stall(true);
            long beginMs = Clock.system().nowMs();
            List<CompletableFuture<PeerMessage>> asks = List.of(ask(a, 2), ask(a, UNANSWERED));
            for (CompletableFuture<PeerMessage> ask : asks) {
                ExecutionException e = assertThrows(ExecutionException.class, () -> get(ask));
                MasticweirException lost = (MasticweirException) e.getCause();
                assertEquals(Verdict.MAY_HAVE_RUN, lost.verdict());
                assertTrue(lost.getMessage().contains("silent"), lost.getMessage());
            }
            long foundMs = Clock.system().nowMs() - beginMs;
            assertEquals("down", seen.poll(WAIT_S, TimeUnit.SECONDS));
            int dials = relay.accepted();
            assertEquals(null, seen.poll(6, TimeUnit.SECONDS), "up through the partition");
            int redials = relay.accepted() - dials;
            relay.stall(false);
            long healMs = Clock.system().nowMs();
            assertEquals("up", seen.poll(WAIT_S, TimeUnit.SECONDS));
            long backMs = Clock.system().nowMs() - healMs;
            get(ask(a, 4));
            System.out.printf(
                    "asks failed after %d ms, %d dials in 6 s, back %d ms after the heal%n",
                    foundMs, redials, backMs);
            assertTrue(foundMs < 6_000, "found after " + foundMs);
            assertTrue(redials <= 12, redials + " dials");
        }
    }

    /** A peer takes its time over an ask, but lives: its link stays and the ask goes on waiting. */
    @Test
    void slowReplyOnALivingLinkIsWaitedFor() throws Exception {
        PeerLinks a = links(A, Clock.system());
        PeerLinks b = links(B, Clock.system());
        a.learn(B, b.address());
        get(ask(a, 1));
        LinkedBlockingQueue<String> seen = SeenLinks.of(a);
        CompletableFuture<PeerMessage> slow = ask(a, UNANSWERED);
        assertEquals(null, seen.poll(4, TimeUnit.SECONDS));
        assertFalse(slow.isDone());
        get(ask(a, 2));
    }

    /**
     * This router itself is paused for a minute. On its return all links look silent, though nobody
     * listened; they must not be closed for that.
     */
    @Test
    void ownPauseClosesNoLink() throws Exception {
        ManualClock clock = ManualClock.startingAt(1_000);
        PeerLinks a = links(A, clock);
        PeerLinks b = links(B, Clock.system());
        a.learn(B, b.address());
        get(ask(a, 1));
        LinkedBlockingQueue<String> seen = SeenLinks.of(a);
        CompletableFuture<PeerMessage> waiting = ask(a, UNANSWERED);
        get(ask(a, 2));
        clock.advanceMs(60_000);
        for (int i = 0; i < 100; i++) {
            get(ask(a, 3));
        }
        assertTrue(seen.isEmpty(), seen.toString());
        assertFalse(waiting.isDone());
    }
}
