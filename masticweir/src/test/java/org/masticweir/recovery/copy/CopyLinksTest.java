package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.A;
import static org.masticweir.recovery.copy.Samples.B;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.H1;
import static org.masticweir.recovery.copy.Samples.H2;
import static org.masticweir.recovery.copy.Samples.REQUEST;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.Reliability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkSettings;
import org.masticweir.peer.MessageRegistry;
import org.masticweir.peer.PeerLinks;
import org.masticweir.time.Clock;

/** Copies between routers over loopback links. */
final class CopyLinksTest {
    private static final long WAIT_S = 10;

    private final Clock clock = Clock.system();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<Router> routers = new ArrayList<>();
    private final Router a = new Router(A);
    private final Router b = new Router(B);
    private final Router holder = new Router(H1);

    @AfterEach
    void closeAll() {
        routers.forEach(r -> r.links.close());
        timer.shutdownNow();
    }

    private void connect() {
        for (Router r : routers) {
            routers.stream().filter(o -> o != r).forEach(o -> r.learn(o));
            r.links.start();
        }
    }

    private static void await(CompletableFuture<?> future) throws Exception {
        future.get(WAIT_S, TimeUnit.SECONDS);
    }

    /** Completes once {@code log} has released {@code count} tokens, and ended if {@code end}. */
    private static CompletableFuture<Void> released(AnswerLog log, int count, boolean end) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Runnable look =
                () -> {
                    AnswerLog.View view = log.read(0, 0);
                    if (view.released() >= count && view.end().isPresent() == end) {
                        done.complete(null);
                    }
                };
        log.listen(look);
        look.run();
        return done;
    }

    /** The loss of a router and the return of its caller. */
    @Nested
    final class Loss {
        /**
         * An adviser's tablet loses its router mid-report and comes back through another. Every
         * token that it was shown is in the copy, under an epoch that the lost router can't use.
         */
        @Test
        void copyIsTakenOverFromADeadOwner() throws Exception {
            connect();
            AnswerLog log = a.own(REQUEST, Reliability.TOKENS, 100);
            await(released(log, 100, false));
            a.links.close();
            LookupAction.TakenOver taken = (LookupAction.TakenOver) b.lookUp();
            assertEquals(FIRST.nextFor(B), taken.copy().epoch());
            assertEquals(log.accepted(0, 100), taken.copy().tokens());
            assertEquals(Samples.spec(REQUEST), taken.copy().spec());
        }

        /** The same router was only cut off: a caller that comes back reads on from its owner. */
        @Test
        void liveOwnerIsReadUntilItsEnd() throws Exception {
            connect();
            AnswerLog log = a.own(REQUEST, Reliability.TOKENS, 30);
            await(released(log, 30, false));
            LookupAction.Following following = (LookupAction.Following) b.lookUp();
            AnswerLog read = new AnswerLog();
            b.copies.follow(following.owner(), REQUEST, read, () -> {});
            await(released(read, 30, false));
            log.append(30, ImmutableIntArray.of(7));
            log.releaseTo(31);
            log.finish(new AnswerEnd.Completed("whole"));
            await(released(read, 31, true));
            assertEquals(log.accepted(0, 31), read.accepted(0, 31));
        }

        /** The owner is replaced while a third router reads from it: that one looks again. */
        @Test
        void replacedOwnerIsLostToItsReaders() throws Exception {
            connect();
            AnswerLog log = a.own(REQUEST, Reliability.TOKENS, 3);
            CompletableFuture<Void> lost = new CompletableFuture<>();
            AnswerLog read = new AnswerLog();
            b.copies.follow(A, REQUEST, read, () -> lost.complete(null));
            await(released(read, 3, false));
            log.finish(
                    new AnswerEnd.Failed(
                            MasticweirException.notRun(ErrorCode.SUPERSEDED, "taken over")));
            await(lost);
            assertTrue(!read.ended());
        }

        /** The first holder does not exist any more: the copy goes to the next one at once. */
        @Test
        void nextHolderServesWhenTheFirstIsGone() throws Exception {
            holder.links.close();
            routers.remove(holder);
            Router second = new Router(H2);
            connect();
            await(released(a.own(REQUEST, Reliability.TOKENS, 5), 5, false));
            assertEquals(5, second.store.reads().find(REQUEST).orElseThrow().tokens());
        }
    }

    /**
     * A placement would be lost without a sign: its holder dies while the generation runs, when no
     * message is due. The loss of the link has the owner copy it to the next holder.
     */
    @Test
    void placementIsCopiedAgainWhenItsHolderDies() throws Exception {
        Router second = new Router(H2);
        connect();
        await(released(a.own(REQUEST, Reliability.PLACEMENT, 5), 5, false));
        assertTrue(holder.store.reads().find(REQUEST).isPresent());
        CompletableFuture<Void> copied = second.holds(REQUEST);
        holder.links.close();
        await(copied);
    }

    /** Not a bound but a figure: what a token's copy costs on the wire, by requests at once. */
    @Test
    void bytesOfACopiedToken() throws Exception {
        connect();
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            RequestId id = RequestId.forKey(TeamId.of("t"), "key-" + i);
            all.add(released(a.own(id, Reliability.TOKENS, 100), 100, false));
        }
        for (CompletableFuture<Void> one : all) {
            await(one);
        }
        CopyTraffic t = a.copies.traffic();
        System.out.printf("copy: %s, %.1f bytes a token%n", t, t.bytesPerToken());
        assertEquals(200 * 100, t.tokens());
        assertTrue(t.bytesPerToken() > 2, t.toString());
    }

    /** One key is submitted to two routers, one of which is asked to hold the other's copy. */
    @Nested
    final class Opening {
        private static final long NUMBER = 1;
        private final AnswerLog log = new AnswerLog();

        /**
         * A caller submits a key again through a router whose first holder is the owner. Granted a
         * copy there, that router would run the request a second time.
         */
        @Test
        void ownerRefusesToHoldItsOwnRequest() throws Exception {
            connect();
            a.owned = Optional.of(owned(Optional.empty()));
            assertEquals(new HolderAnswer.HeldByOther(FIRST), openAtA(B));
        }

        /** Both open at one moment, each at the other: the higher epoch goes first. */
        @Test
        void lowerOfTwoThatAskEachOtherYields() throws Exception {
            connect();
            a.owned = Optional.of(owned(Optional.of(B)));
            assertEquals(new HolderAnswer.Granted(), openAtA(B));
            assertTrue(a.copies.holds(REQUEST));
        }

        /** Both open at one moment, but only one asks the other: it hears of it. */
        @Test
        void oneThatAskedElsewhereDoesNotYield() throws Exception {
            connect();
            a.owned = Optional.of(owned(Optional.of(H1)));
            assertEquals(new HolderAnswer.HeldByOther(FIRST), openAtA(B));
        }

        private OwnedAnswer owned(Optional<RouterId> openedAt) {
            return new OwnedAnswer(
                    FIRST, Samples.spec(REQUEST), Samples.generation(REQUEST, 1), log, openedAt);
        }

        private HolderAnswer openAtA(RouterId opener) throws Exception {
            GenerationCopy copy =
                    GenerationCopy.fresh(
                            CopyEpoch.first(opener),
                            Samples.spec(REQUEST),
                            Samples.generation(REQUEST, 2));
            CompletableFuture<CopyEvent> event = new CompletableFuture<>();
            CopyCommand.Open open = new CopyCommand.Open(copy);
            b.copies.send(new CopyAction.SendToHolder(A, NUMBER, open), event::complete);
            CopyEvent answered = event.get(WAIT_S, TimeUnit.SECONDS);
            return ((CopyEvent.Answered) answered).answer();
        }
    }

    /** One router with its links, its store and the requests it owns. */
    private final class Router {
        private final RouterId id;
        private final PeerLinks links;
        private final CopyStore store = CopyStore.within(StoreLimits.defaults());
        private final CopyLinks copies;
        private final ExecutorService thread = timer;
        private Optional<OwnedAnswer> owned = Optional.empty();

        Router(RouterId id) {
            this.id = id;
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            links =
                    PeerLinks.open(
                            LinkSettings.of(any, 42),
                            Hello.of(id, 1, DomainId.of("d1")),
                            MessageRegistry.of(CopyMessageCodecs.all()),
                            clock);
            CopyLinkLimits limits = CopyLinkLimits.defaults();
            copies = CopyLinks.open(links, id, store, request -> owned, clock, limits);
            routers.add(this);
        }

        void learn(Router other) {
            links.learn(other.id, other.links.address());
        }

        /** Owns a request whose engine gives {@code count} tokens one by one. */
        AnswerLog own(RequestId request, Reliability reliability, int count) {
            AnswerLog log = new AnswerLog();
            GenerationCopy fresh =
                    GenerationCopy.fresh(
                            FIRST, Samples.spec(request), Samples.generation(request, 1));
            owned = Optional.of(new OwnedAnswer(FIRST, fresh.spec(), fresh.generation(), log));
            HolderRanking ranking = (r, owner, n) -> ImmutableList.of(H1, H2);
            CopyPlan plan = new CopyPlan(reliability, 2_000, 60_000, 50, 60_000, 2);
            CopySender sender =
                    CopySender.opening(plan, fresh, log::accepted, ranking, clock.nowMs());
            SenderDriver[] driver = new SenderDriver[1];
            driver[0] =
                    SenderDriver.of(
                            sender,
                            copies,
                            onTimer(),
                            clock,
                            action -> {
                                if (action instanceof CopyAction.Start) {
                                    thread.execute(() -> accept(log, driver[0], count));
                                } else if (action instanceof CopyAction.ReleaseTo r) {
                                    log.releaseTo(r.index());
                                }
                            });
            thread.execute(driver[0]::start);
            return log;
        }

        private void accept(AnswerLog log, SenderDriver driver, int count) {
            int next = log.size();
            log.append(next, ImmutableIntArray.of(100_000 + next));
            driver.on(new CopyEvent.Accepted(next + 1));
            if (next + 1 < count) {
                thread.execute(() -> accept(log, driver, count));
            }
        }

        /** Completes once this router's store has a copy of the request. */
        CompletableFuture<Void> holds(RequestId request) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            Runnable look = () -> store.reads().find(request).ifPresent(s -> done.complete(null));
            timer.scheduleAtFixedRate(look, 1, 1, TimeUnit.MILLISECONDS);
            return done;
        }

        LookupAction lookUp() throws Exception {
            CompletableFuture<LookupAction> outcome = new CompletableFuture<>();
            CopyLookup lookup = CopyLookup.of(LookupLimits.defaults(), id, List.of(H1));
            LookupDriver driver =
                    LookupDriver.of(lookup, REQUEST, copies, onTimer(), clock, outcome::complete);
            thread.execute(driver::start);
            return outcome.get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    private RequestThread onTimer() {
        return new RequestThread() {
            @Override
            public void execute(Runnable task) {
                if (!timer.isShutdown()) {
                    timer.execute(task);
                }
            }

            @Override
            public Runnable executeAfter(Runnable task, long delayMs) {
                ScheduledFuture<?> f = timer.schedule(task, delayMs, TimeUnit.MILLISECONDS);
                return () -> f.cancel(false);
            }
        };
    }
}
