package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/** Which server gets a request. */
class PlacementTest {
    private final ForwardWorld world = new ForwardWorld().domain("a", 2).domain("b", 2);

    private Optional<BackendServer> choose() {
        return world.placement.server(
                ImmutableList.copyOf(world.servers),
                ForwardWorld.PROMPT,
                Optional.of(ForwardWorld.ENGINE),
                Set.of(),
                0);
    }

    /**
     * A report breaks off although its copy lives: its domain is cut off, its engine lies on the
     * other side, as those at home had just been lost, and so does the copy.
     */
    @Nested
    class Holders {
        private Optional<BackendServer> holderOf(String runner) {
            return world.placement.holder(
                    ImmutableList.copyOf(world.servers),
                    world.byId(runner),
                    ForwardWorld.PROMPT,
                    ForwardWorld.ENGINE,
                    0);
        }

        @Test
        void ofRunsAwayFromHomeAreAtHome() {
            world.domain("c", 2);
            world.loads.addCopyTokens(ForwardWorld.life("a-1"), 40_000);
            world.loads.addCopyTokens(ForwardWorld.life("a-2"), 60_000);
            assertEquals("a-1", holderOf("b-1").orElseThrow().id().value());
        }

        @Test
        void ofRunsAtHomeAreElsewhereWhereMostMemoryIsFree() {
            world.domain("c", 1);
            world.loads.addCopyTokens(ForwardWorld.life("b-1"), 40_000);
            world.loads.addCopyTokens(ForwardWorld.life("b-2"), 20_000);
            world.loads.addCopyTokens(ForwardWorld.life("c-1"), 30_000);
            assertEquals("b-2", holderOf("a-1").orElseThrow().id().value());
        }

        @Test
        void ofRunsAwayFromHomeAreElsewhereWhileThoseAtHomeAreDoubtful() {
            world.domain("c", 1);
            world.health.recordFailure(world.byId("a-1"), 0);
            world.health.recordFailure(world.byId("a-2"), 0);
            assertEquals("c-1", holderOf("b-1").orElseThrow().id().value());
        }
    }

    /** Requests with long prompts. */
    @Nested
    class Engines {
        /** Two prompts in reading at one engine make all its streams pause. */
        @Test
        void withoutPromptInReadingGoFirst() {
            for (int i = 0; i < 4; i++) {
                world.loads.recordSend(choose().orElseThrow().incarnation(), ForwardWorld.PROMPT);
            }
            world.servers.forEach(
                    s -> assertEquals(1, world.loads.totalLoad(s.incarnation()).prefills()));
        }

        @Test
        void ofPeersCountToo() {
            ServerLoad use = new ServerLoad(1, 1, 8_000, 9_000);
            world.servers.stream()
                    .filter(s -> !s.id().value().equals("b-2"))
                    .forEach(
                            s ->
                                    world.loads.recordPeerLoad(
                                            RouterId.of("r2"), s.incarnation(), use));
            assertEquals("b-2", choose().orElseThrow().id().value());
        }

        /**
         * A domain is cut off, and the reports of its callers stand still: their engines lie on the
         * other side although engines of the domain were idle.
         */
        @Test
        void ofTheOwnDomainAreChosenWhileNoneReadsAPrompt() {
            assertEquals("a", choose().orElseThrow().domain().value());
            world.loads.recordSend(ForwardWorld.life("a-1"), RequestSize.none());
            world.loads.recordSend(ForwardWorld.life("a-2"), RequestSize.none());
            assertEquals("a", choose().orElseThrow().domain().value());
        }

        /**
         * A domain is cut off for seconds. Its callers' reports pause for two seconds: each engine
         * of the domain ran a report or two, so new ones had gone to idle engines elsewhere.
         */
        @Test
        void ofTheOwnDomainAreChosenWhileTheyRunAFewRequests() {
            for (String engine : List.of("a-1", "a-2")) {
                for (int i = 0; i < 3; i++) {
                    world.loads.recordSend(ForwardWorld.life(engine), RequestSize.none());
                }
            }
            assertEquals("a", choose().orElseThrow().domain().value());
        }

        @Test
        void ofAnotherDomainAreChosenOnceThoseAtHomeRunManyMore() {
            for (String engine : List.of("a-1", "a-2")) {
                for (int i = 0; i < 5; i++) {
                    world.loads.recordSend(ForwardWorld.life(engine), RequestSize.none());
                }
            }
            assertEquals("b", choose().orElseThrow().domain().value());
        }

        @Test
        void ofAnotherDomainAreChosenBeforeASecondPromptAtHome() {
            world.loads.recordSend(ForwardWorld.life("a-1"), ForwardWorld.PROMPT);
            world.loads.recordSend(ForwardWorld.life("a-2"), ForwardWorld.PROMPT);
            assertEquals("b", choose().orElseThrow().domain().value());
        }

        /**
         * All reports pause too long in a burst: each engine reads four prompts at once, a part of
         * each between two steps of the streams that run there.
         */
        @Test
        void thatReadTwoPromptsAreNotChosen() {
            for (int i = 0; i < 2 * world.servers.size(); i++) {
                world.loads.recordSend(choose().orElseThrow().incarnation(), ForwardWorld.PROMPT);
            }
            world.servers.forEach(
                    s -> assertEquals(2, world.loads.totalLoad(s.incarnation()).prefills()));
            assertTrue(choose().isEmpty());
            world.loads.recordPrefillEnd(ForwardWorld.life("b-1"), ForwardWorld.PROMPT);
            assertEquals("b-1", choose().orElseThrow().id().value());
        }

        @Test
        void withoutRoomInMemoryAreNotChosen() {
            world.servers.forEach(s -> world.loads.addCopyTokens(s.incarnation(), 80_000));
            assertTrue(choose().isEmpty());
        }

        @Test
        void thatLeaveAreNotChosen() {
            List<BackendServer> leaving = new ArrayList<>();
            for (BackendServer s : world.servers) {
                leaving.add(
                        new BackendServer(
                                s.incarnation(),
                                s.service(),
                                s.address(),
                                s.domain(),
                                s.slots(),
                                true));
            }
            world.servers.clear();
            world.servers.addAll(leaving);
            assertTrue(choose().isEmpty());
        }
    }

    /**
     * Replays a wave of prompts on eight routers: 60 prompts a second of 8,200 tokens, read in 1.1
     * s, over 64 engines. Routers that tell each other what they have sent keep the most prompts at
     * one engine far below those that go by their own sends.
     */
    @Nested
    class WaveOverEightRouters {
        private static final int ROUTERS = 8;
        private static final int ENGINES = 64;
        private static final int PROMPTS = 600;
        private static final long GAP_MS = 17;
        private static final long READ_MS = 1_100;

        private int mostTogether(boolean telling) {
            List<ForwardWorld> routers = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new ForwardWorld().domain("a", ENGINES));
            }
            SplittableRandom random = new SplittableRandom(11);
            Map<ServerIncarnation, List<Long>> reading = new HashMap<>();
            List<Runnable> ends = new ArrayList<>();
            int most = 0;
            for (int i = 0; i < PROMPTS; i++) {
                long now = i * GAP_MS;
                int r = random.nextInt(ROUTERS);
                ForwardWorld router = routers.get(r);
                ServerIncarnation engine =
                        router.placement
                                .server(
                                        ImmutableList.copyOf(router.servers),
                                        ForwardWorld.PROMPT,
                                        Optional.of(ForwardWorld.ENGINE),
                                        Set.of(),
                                        now)
                                .orElseThrow()
                                .incarnation();
                router.loads.recordSend(engine, ForwardWorld.PROMPT);
                List<Long> until = reading.computeIfAbsent(engine, e -> new ArrayList<>());
                until.removeIf(ms -> ms <= now);
                until.add(now + READ_MS);
                most = Math.max(most, until.size());
                ends.add(() -> router.loads.recordPrefillEnd(engine, ForwardWorld.PROMPT));
                ends.add(
                        () -> {
                            router.loads.recordEnd(engine, ForwardWorld.PROMPT);
                            if (telling) {
                                tell(routers, r, engine);
                            }
                        });
                if (i >= READ_MS / GAP_MS) {
                    int first = 2 * (i - (int) (READ_MS / GAP_MS));
                    ends.get(first).run();
                    ends.get(first + 1).run();
                }
                if (telling) {
                    tell(routers, r, engine);
                }
            }
            return most;
        }

        private void tell(List<ForwardWorld> routers, int from, ServerIncarnation engine) {
            for (int i = 0; i < ROUTERS; i++) {
                if (i != from) {
                    routers.get(i)
                            .loads
                            .recordPeerLoad(
                                    RouterId.of("r" + from),
                                    engine,
                                    routers.get(from).loads.ownLoad(engine));
                }
            }
        }

        @Test
        void isSpreadByThoseThatTell() {
            int alone = mostTogether(false);
            int telling = mostTogether(true);
            assertTrue(telling <= 3, "at most " + telling + " prompts together");
            assertTrue(alone > telling, "alone " + alone + ", telling " + telling);
        }
    }

    /** Requests without a prompt. */
    @Nested
    class PlainServers {
        private BackendServer plain() {
            return ServerSelector.create(
                            world.loads,
                            world.health,
                            world.notices,
                            world.limits,
                            DomainId.of("a"),
                            new SplittableRandom(1))
                    .server(
                            ImmutableList.copyOf(world.servers),
                            RequestSize.none(),
                            Optional.empty(),
                            Set.of(),
                            10)
                    .orElseThrow();
        }

        @Test
        void thatSayTheyAreFullAreTheLastChoice() {
            world.loads.recordServerReport(ForwardWorld.life("a-1"), 96, 5);
            world.loads.recordServerReport(ForwardWorld.life("a-2"), 96, 5);
            assertEquals("b", plain().domain().value());
        }

        @Test
        void ofTheOwnDomainGoFirstWhenAllIsIdle() {
            assertEquals("a", plain().domain().value());
        }
    }
}
