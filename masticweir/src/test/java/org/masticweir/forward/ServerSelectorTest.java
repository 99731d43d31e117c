package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.masticweir.permits.AnnouncedLimit;
import org.masticweir.permits.ServerLimits;

/** Tests which server is selected. */
class ServerSelectorTest {
    private final ForwardFixture fixture = new ForwardFixture().domain("a", 2).domain("b", 2);

    private Optional<BackendServer> choose() {
        return fixture.selector.select(
                ImmutableList.copyOf(fixture.servers),
                ForwardFixture.PROMPT,
                Optional.of(ForwardFixture.ENGINE),
                Set.of(),
                0);
    }

    /**
     * A report must not end while its copy exists. After the own domain has lost its engines, the
     * run is in another domain. If the copy is in another domain too, run and copy are unreachable
     * once the own domain is partitioned.
     */
    @Nested
    class CopyHolders {
        private Optional<BackendServer> holderOf(String runner) {
            return fixture.selector.selectCopyHolder(
                    ImmutableList.copyOf(fixture.servers),
                    fixture.byId(runner),
                    ForwardFixture.PROMPT,
                    ForwardFixture.ENGINE,
                    0);
        }

        @Test
        void ofRunsInOtherDomainAreInOwnDomain() {
            fixture.domain("c", 2);
            fixture.loads.addCopyTokens(ForwardFixture.incarnation("a-1"), 40_000);
            fixture.loads.addCopyTokens(ForwardFixture.incarnation("a-2"), 60_000);
            assertEquals("a-1", holderOf("b-1").orElseThrow().id().value());
        }

        @Test
        void ofRunsInOwnDomainAreElsewhereWithMostFreeMemory() {
            fixture.domain("c", 1);
            fixture.loads.addCopyTokens(ForwardFixture.incarnation("b-1"), 40_000);
            fixture.loads.addCopyTokens(ForwardFixture.incarnation("b-2"), 20_000);
            fixture.loads.addCopyTokens(ForwardFixture.incarnation("c-1"), 30_000);
            assertEquals("b-2", holderOf("a-1").orElseThrow().id().value());
        }

        @Test
        void ofRunsInOtherDomainAreInThirdDomainIfOwnRecentlyFailed() {
            fixture.domain("c", 1);
            fixture.health.recordFailure(fixture.byId("a-1"), 0);
            fixture.health.recordFailure(fixture.byId("a-2"), 0);
            assertEquals("c-1", holderOf("b-1").orElseThrow().id().value());
        }
    }

    /** Requests with long prompts. */
    @Nested
    class Engines {
        /** Two concurrent prefills at one engine delay all its streams. */
        @Test
        void withoutPrefillAreChosenFirst() {
            for (int i = 0; i < 4; i++) {
                fixture.loads.recordSend(
                        choose().orElseThrow().incarnation(), ForwardFixture.PROMPT);
            }
            fixture.servers.forEach(
                    s -> assertEquals(1, fixture.loads.totalLoad(s.incarnation()).prefills()));
        }

        @Test
        void loadedByPeersAreAvoided() {
            ServerLoad use = new ServerLoad(1, 1, 8_000, 9_000);
            fixture.servers.stream()
                    .filter(s -> !s.id().value().equals("b-2"))
                    .forEach(
                            s ->
                                    fixture.loads.recordPeerLoad(
                                            RouterId.of("r2"), s.incarnation(), use));
            assertEquals("b-2", choose().orElseThrow().id().value());
        }

        /**
         * If a domain is partitioned, its reports at engines in other domains stall. Idle engines
         * of the own domain must therefore be preferred.
         */
        @Test
        void ofOwnDomainAreChosenWithoutPrefills() {
            assertEquals("a", choose().orElseThrow().domain().value());
            fixture.loads.recordSend(ForwardFixture.incarnation("a-1"), RequestSize.none());
            fixture.loads.recordSend(ForwardFixture.incarnation("a-2"), RequestSize.none());
            assertEquals("a", choose().orElseThrow().domain().value());
        }

        /**
         * If a domain is partitioned for seconds, its callers' reports at other domains pause for
         * two seconds. New reports must therefore not go to idle engines elsewhere just because
         * each engine of the own domain runs one or two reports.
         */
        @Test
        void ofOwnDomainAreChosenWithFewRequests() {
            for (String engine : List.of("a-1", "a-2")) {
                for (int i = 0; i < 3; i++) {
                    fixture.loads.recordSend(
                            ForwardFixture.incarnation(engine), RequestSize.none());
                }
            }
            assertEquals("a", choose().orElseThrow().domain().value());
        }

        @Test
        void ofOtherDomainAreChosenIfOwnRunManyMore() {
            for (String engine : List.of("a-1", "a-2")) {
                for (int i = 0; i < 5; i++) {
                    fixture.loads.recordSend(
                            ForwardFixture.incarnation(engine), RequestSize.none());
                }
            }
            assertEquals("b", choose().orElseThrow().domain().value());
        }

        @Test
        void ofOtherDomainAreChosenBeforeSecondPrefillInOwn() {
            fixture.loads.recordSend(ForwardFixture.incarnation("a-1"), ForwardFixture.PROMPT);
            fixture.loads.recordSend(ForwardFixture.incarnation("a-2"), ForwardFixture.PROMPT);
            assertEquals("b", choose().orElseThrow().domain().value());
        }

        /**
         * If each engine runs four concurrent prefills in a burst, all reports pause too long: the
         * engine processes a part of each prompt between two decode steps.
         */
        @Test
        void withTwoPrefillsAreNotChosen() {
            for (int i = 0; i < 2 * fixture.servers.size(); i++) {
                fixture.loads.recordSend(
                        choose().orElseThrow().incarnation(), ForwardFixture.PROMPT);
            }
            fixture.servers.forEach(
                    s -> assertEquals(2, fixture.loads.totalLoad(s.incarnation()).prefills()));
            assertTrue(choose().isEmpty());
            fixture.loads.recordPrefillEnd(
                    ForwardFixture.incarnation("b-1"), ForwardFixture.PROMPT);
            assertEquals("b-1", choose().orElseThrow().id().value());
        }

        @Test
        void withoutFreeMemoryAreNotChosen() {
            fixture.servers.forEach(s -> fixture.loads.addCopyTokens(s.incarnation(), 80_000));
            assertTrue(choose().isEmpty());
        }

        @Test
        void thatLeaveAreNotChosen() {
            List<BackendServer> leaving = new ArrayList<>();
            for (BackendServer s : fixture.servers) {
                leaving.add(
                        new BackendServer(
                                s.incarnation(),
                                s.service(),
                                s.address(),
                                s.domain(),
                                s.slots(),
                                true));
            }
            fixture.servers.clear();
            fixture.servers.addAll(leaving);
            assertTrue(choose().isEmpty());
        }
    }

    /**
     * Simulates a burst of prompts at eight routers: 60 prompts a second of 8,200 tokens over 64
     * engines, with a prefill of 1.1 s. Routers that share their loads must cause far fewer
     * concurrent prefills at one engine than routers that count only their own sends.
     */
    @Nested
    class BurstOverEightRouters {
        private static final int ROUTERS = 8;
        private static final int ENGINES = 64;
        private static final int PROMPTS = 600;
        private static final long ARRIVAL_INTERVAL_MS = 17;
        private static final long PREFILL_MS = 1_100;

        private int maxConcurrentPrefills(boolean isSharingLoad) {
            List<ForwardFixture> routers = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new ForwardFixture().domain("a", ENGINES));
            }
            SplittableRandom random = new SplittableRandom(11);
            Map<ServerIncarnation, List<Long>> prefillEndsMs = new HashMap<>();
            List<Runnable> ends = new ArrayList<>();
            int max = 0;
            for (int i = 0; i < PROMPTS; i++) {
                long now = i * ARRIVAL_INTERVAL_MS;
                int r = random.nextInt(ROUTERS);
                ForwardFixture router = routers.get(r);
                ServerIncarnation engine =
                        router.selector
                                .select(
                                        ImmutableList.copyOf(router.servers),
                                        ForwardFixture.PROMPT,
                                        Optional.of(ForwardFixture.ENGINE),
                                        Set.of(),
                                        now)
                                .orElseThrow()
                                .incarnation();
                router.loads.recordSend(engine, ForwardFixture.PROMPT);
                List<Long> until = prefillEndsMs.computeIfAbsent(engine, e -> new ArrayList<>());
                until.removeIf(ms -> ms <= now);
                until.add(now + PREFILL_MS);
                max = Math.max(max, until.size());
                ends.add(() -> router.loads.recordPrefillEnd(engine, ForwardFixture.PROMPT));
                ends.add(
                        () -> {
                            router.loads.recordEnd(engine, ForwardFixture.PROMPT);
                            if (isSharingLoad) {
                                shareLoad(routers, r, engine);
                            }
                        });
                if (i >= PREFILL_MS / ARRIVAL_INTERVAL_MS) {
                    int first = 2 * (i - (int) (PREFILL_MS / ARRIVAL_INTERVAL_MS));
                    ends.get(first).run();
                    ends.get(first + 1).run();
                }
                if (isSharingLoad) {
                    shareLoad(routers, r, engine);
                }
            }
            return max;
        }

        private void shareLoad(List<ForwardFixture> routers, int from, ServerIncarnation engine) {
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
        void isSpreadIfRoutersShareLoad() {
            int withoutSharing = maxConcurrentPrefills(false);
            int withSharing = maxConcurrentPrefills(true);
            assertTrue(withSharing <= 3, "max " + withSharing + " concurrent prefills");
            assertTrue(
                    withoutSharing > withSharing,
                    "without sharing " + withoutSharing + ", with sharing " + withSharing);
        }
    }

    /** Requests without a prompt. */
    @Nested
    class PlainServers {
        private BackendServer choosePlain() {
            return ServerSelector.create(
                            fixture.loads,
                            fixture.health,
                            fixture.notices,
                            fixture.limits,
                            fixture.brittle,
                            DomainId.of("a"),
                            new SplittableRandom(1))
                    .select(
                            ImmutableList.copyOf(fixture.servers),
                            RequestSize.none(),
                            Optional.empty(),
                            Set.of(),
                            10)
                    .orElseThrow();
        }

        @Test
        void thatReportFullLoadAreChosenLast() {
            fixture.loads.recordServerReport(ForwardFixture.incarnation("a-1"), 96, 5);
            fixture.loads.recordServerReport(ForwardFixture.incarnation("a-2"), 96, 5);
            assertEquals("b", choosePlain().domain().value());
        }

        @Test
        void ofOwnDomainAreChosenFirstIfAllAreIdle() {
            assertEquals("a", choosePlain().domain().value());
        }
    }

    /** Servers that need a permit. */
    @Nested
    class Permits {
        private final BackendServer server = fixture.byId("a-1");

        private void announce(ServerLimits limits) {
            limits.recordAnswer(server.incarnation(), AnnouncedLimit.of(3), 0, 0);
        }

        private boolean canAccept() {
            return fixture.selector.canAccept(
                    server, ForwardFixture.PROMPT, Optional.of(ForwardFixture.ENGINE), 1);
        }

        private boolean canAcceptWithPermit() {
            return fixture.selector.canAcceptWithPermit(
                    server, ForwardFixture.PROMPT, Optional.of(ForwardFixture.ENGINE), 1);
        }

        @Test
        void areNeededAtBrittleServers() {
            assertFalse(fixture.selector.needsPermit(server));
            announce(fixture.brittle);
            assertTrue(fixture.selector.needsPermit(server));
        }

        /** Failure: a granted permit is wasted because another request was denied meanwhile. */
        @Test
        void thatWereGrantedHoldAfterTheDenialOfAnotherRequest() {
            announce(fixture.brittle);
            announce(fixture.limits);
            fixture.brittle.blockUntil(server.incarnation(), 10);
            assertFalse(canAccept());
            assertTrue(canAcceptWithPermit());
            fixture.limits.blockUntil(server.incarnation(), 10);
            assertTrue(canAcceptWithPermit());
        }

        @Test
        void doNotHoldAgainstAPauseOfTheServer() {
            fixture.notices.recordPause(server.incarnation(), 100, 0);
            assertFalse(canAcceptWithPermit());
        }
    }
}
