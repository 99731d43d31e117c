package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.id.RouterId;
import org.masticweir.relay.StoreFleet.Router;
import org.masticweir.relay.StoreFleet.StoreFault;

/**
 * 95 routers in six domains follow one store, and keep its bounds while readers fail.
 *
 * <p>The bound of a change is two seconds from the store's word, the shortest that deployments ask.
 */
class StoreFleetTest {
    private static final int ROUTERS = 95;
    private static final int DOMAINS = 6;
    private static final long BOUND_MS = 2_000;

    /** Long enough for pulses to have settled who reads. */
    private static final long SETTLED_MS = 6_000;

    private static final long QUIET_MS = 6_000;

    private final StoreFleet fleet = new StoreFleet(ROUTERS, DOMAINS);

    private List<Router> all() {
        return List.copyOf(fleet.routers.values());
    }

    private List<Router> running() {
        return all().stream().filter(r -> r.running).toList();
    }

    private long readers(String domain) {
        return fleet.domain(domain).stream().filter(r -> r.role().reads()).count();
    }

    private void assertInTime(long tookMs) {
        assertTrue(tookMs <= BOUND_MS, "in force after " + tookMs + " ms");
    }

    /** Server e1 moves; its new address must be believed everywhere in time. */
    private void assertAMoveIsSeen(List<Router> by) {
        fleet.store.put("e1", "82");
        assertInTime(fleet.untilAllSee(by, "82", BOUND_MS));
    }

    /** Calls to the store grew with routers times changes, and with them the price of each. */
    @Nested
    class Settled {
        @Test
        void twoRoutersOfADomainRead() {
            fleet.runFor(SETTLED_MS);
            for (int i = 0; i < DOMAINS; i++) {
                assertEquals(2, readers("d" + i));
            }
        }

        @Test
        void aSecondOfChangesCostsCallsOfTheReadersOnly() {
            fleet.runFor(SETTLED_MS);
            long before = fleet.store.calls;
            for (int i = 0; i < 10; i++) {
                fleet.store.put("e" + i, Integer.toString(90 + i));
                fleet.runFor(1_000);
            }
            long calls = fleet.store.calls - before;
            assertTrue(calls <= 2 * DOMAINS * 2 * 12, calls + " calls");
        }

        @Test
        void aChangeIsInForceEverywhereSoon() {
            fleet.runFor(SETTLED_MS);
            assertAMoveIsSeen(all());
            fleet.store.catalog(2);
            fleet.runFor(500);
            assertTrue(all().stream().allMatch(r -> r.catalogVersion() == 2));
        }

        /**
         * Each router asked each other one for a sign of life each second, 389 at 390 routers. Now
         * most of what it says stays in its domain.
         */
        @ParameterizedTest
        @CsvSource({"8, 4, 20", "61, 4, 50", "95, 6, 60", "390, 9, 180"})
        void messagesOfAQuietSecondStayInBounds(int routers, int domains, long most) {
            StoreFleet sized = new StoreFleet(routers, domains);
            sized.runFor(SETTLED_MS);
            long messages = sized.messages;
            long calls = sized.store.calls;
            sized.runFor(QUIET_MS);
            double seconds = QUIET_MS / 1_000.0;
            double aRouter = (sized.messages - messages) / seconds / routers;
            double all = (sized.store.calls - calls) / seconds;
            System.out.printf(
                    "store fleet: %d routers in %d domains, %.1f messages out a router and second,"
                            + " %.1f calls to the store a second%n",
                    routers, domains, aRouter, all);
            assertTrue(aRouter < most, aRouter + " messages");
            assertTrue(all <= 2 * domains, all + " calls");
        }
    }

    /**
     * A leaving server gets work, or a key that was taken away still opens: the readers of a domain
     * failed just before the change, and the others rely on them.
     */
    @Nested
    class ReadersThatFail {
        private List<Router> ranked() {
            fleet.runFor(SETTLED_MS);
            return fleet.ranked("d0");
        }

        @Test
        void bothLosePower() {
            ranked().subList(0, 2).forEach(Router::losePower);
            assertAMoveIsSeen(running());
        }

        @Test
        void bothLosePowerWhileTheOtherDomainsAreCutOff() {
            List<Router> home = ranked();
            fleet.cut = (from, to) -> isOf(home, from) != isOf(home, to);
            home.subList(0, 2).forEach(Router::losePower);
            assertAMoveIsSeen(running());
        }

        private boolean isOf(List<Router> some, RouterId id) {
            return some.stream().anyMatch(r -> r.at.id().equals(id));
        }

        @Test
        void theFirstFourLosePower() {
            ranked().subList(0, 4).forEach(Router::losePower);
            assertAMoveIsSeen(running());
        }

        @Test
        void bothAreKilled() {
            ranked().subList(0, 2).forEach(Router::kill);
            assertAMoveIsSeen(running());
        }

        @Test
        void bothHearNothingOfTheStore() {
            ranked().subList(0, 2).forEach(r -> r.fault = StoreFault.SILENT);
            assertAMoveIsSeen(all());
        }

        @Test
        void bothAreTurnedAwayByTheStore() {
            ranked().subList(0, 2).forEach(r -> r.fault = StoreFault.REFUSED);
            assertAMoveIsSeen(all());
        }

        @Test
        void theWholeDomainIsTurnedAwayAndHearsItFromTheOthers() {
            ranked().forEach(r -> r.fault = StoreFault.REFUSED);
            assertAMoveIsSeen(all());
            fleet.store.catalog(2);
            fleet.runFor(BOUND_MS);
            assertTrue(all().stream().allMatch(r -> r.catalogVersion() == 2));
        }

        @Test
        void bothAreCutOffFromTheirDomainButNotFromTheStore() {
            List<Router> cutOff = ranked().subList(0, 2);
            fleet.cut = (from, to) -> isOf(cutOff, from);
            assertAMoveIsSeen(all());
        }

        @Test
        void oneThatWakesDoesNotTakeTheOthersBack() {
            Router first = ranked().get(0);
            first.losePower();
            fleet.store.put("e1", "82");
            fleet.runFor(BOUND_MS);
            first.running = true;
            fleet.store.put("e1", "83");
            assertInTime(fleet.untilAllSee(running(), "83", BOUND_MS));
            fleet.runFor(SETTLED_MS);
            assertTrue(all().stream().allMatch(r -> r.sees().equals("83")));
            assertEquals(2, readers("d0"));
        }
    }

    /** The store answers late; calls that found no change ended by their time limit as lost. */
    @Nested
    class StoreThatAnswersLate {
        private static final long SLOW_FOR_MS = 30_000;

        @ParameterizedTest
        @ValueSource(longs = {100, 1_330, 3_000})
        void isReadByAsFewAndBelieved(long answerMs) {
            becomesLate(answerMs);
            long before = fleet.store.calls;
            fleet.runFor(SLOW_FOR_MS);
            double calls = (fleet.store.calls - before) * 1_000.0 / SLOW_FOR_MS;
            assertTrue(calls <= 2 * DOMAINS, calls + " calls a second");
            assertEquals(
                    ROUTERS, all().stream().filter(r -> r.view.isCatalogFresh()).count(), "sure");
        }

        @ParameterizedTest
        @ValueSource(longs = {100, 1_330, 3_000})
        void holdsUpNoChangeBeyondItsAnswer(long answerMs) {
            becomesLate(answerMs);
            fleet.store.catalog(2);
            assertEquals(ROUTERS, fleet.holdersAfter(2, answerMs + BOUND_MS), "hold it");
        }

        private void becomesLate(long answerMs) {
            fleet.runFor(SETTLED_MS);
            fleet.store.answerMs = answerMs;
            fleet.runFor(SLOW_FOR_MS);
        }
    }

    /** A router that is alone has only itself to rely on. */
    @Nested
    class Alone {
        @Test
        void readsForItselfInTime() {
            fleet.runFor(SETTLED_MS);
            List<Router> ranked = fleet.ranked("d0");
            Router last = ranked.get(ranked.size() - 1);
            fleet.cut = (from, to) -> to.equals(last.at.id()) || from.equals(last.at.id());
            assertAMoveIsSeen(all());
        }
    }

    /**
     * Words between routers are lost, and a server that has left would be sent requests for good.
     */
    @Nested
    class LostWords {
        @Test
        void areAskedForWhenTheNextOneComes() {
            fleet.runFor(SETTLED_MS);
            fleet.cut = (from, to) -> true;
            fleet.store.remove("e1");
            fleet.runFor(300);
            fleet.cut = (from, to) -> false;
            fleet.store.put("e2", "84");
            fleet.runFor(BOUND_MS);
            assertTrue(all().stream().allMatch(r -> r.sees().isEmpty()));
        }

        @Test
        void historyThatIsGoneIsReadWholeByTheReadersAndToldToTheRest() {
            fleet.runFor(SETTLED_MS);
            fleet.cut = (from, to) -> true;
            fleet.store.remove("e1");
            fleet.store.forgetHistory();
            fleet.runFor(100);
            fleet.cut = (from, to) -> false;
            fleet.runFor(2 * BOUND_MS);
            assertTrue(all().stream().allMatch(r -> r.sees().isEmpty()));
        }
    }

    /** Entries that lapse while the store is away come back; their servers must not be left. */
    @Nested
    class StoreThatWasAway {
        @Test
        void removalsAreDoubtedByAllAlike() {
            fleet.runFor(SETTLED_MS);
            all().forEach(r -> r.fault = StoreFault.REFUSED);
            fleet.runFor(4_000);
            fleet.store.remove("e1");
            all().forEach(r -> r.fault = StoreFault.NONE);
            fleet.runFor(1_500);
            assertTrue(all().stream().allMatch(r -> r.sees().equals("81")), "left too soon");
            fleet.store.put("e1", "81");
            fleet.runFor(4_000);
            assertTrue(
                    all().stream().allMatch(r -> r.sees().equals("81")), "lost after its return");
        }

        @Test
        void oneThatStaysAwayIsGoneEverywhere() {
            fleet.runFor(SETTLED_MS);
            all().forEach(r -> r.fault = StoreFault.REFUSED);
            fleet.runFor(4_000);
            fleet.store.remove("e1");
            all().forEach(r -> r.fault = StoreFault.NONE);
            fleet.runFor(6_000);
            assertTrue(all().stream().allMatch(r -> r.sees().isEmpty()));
        }
    }
}
