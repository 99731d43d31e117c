package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticweir.id.RouterId;

/** What heartbeats cost at the size that decides the design. */
class FleetSizeTest {
    private static final int DOMAINS = 9;
    private static final int ROUTERS = 390;
    private static final int BUDGET_BYTES_PER_S = 12_000;
    private static final int HEARTBEAT_BYTES_PER_S = 6_500;
    private static final int TICK_MS = 250;
    private static final int SETTLE_MS = 30_000;
    private static final MembershipSettings DAEMON =
            MembershipSettings.DEFAULT.withHeartbeats(500, 5000, 6000, 1500, 4000);
    private static final double CHANGES_PER_S = 3100 / 86_400.0;

    /** IP and TCP headers with timestamps, of a segment and of the acknowledgement to it. */
    private static final int HEADER_BYTES = 2 * 52;

    private static Fleet fleet() {
        Fleet fleet = new Fleet();
        for (int i = 0; i < ROUTERS; i++) {
            fleet.add(Fleet.router(i % DOMAINS, i / DOMAINS, 1_796_000_000_000L));
        }
        fleet.listAll(1000);
        return fleet;
    }

    /**
     * All 390 routers exchange heartbeats; each message counts at its sender and at its receiver,
     * with the headers that TCP and IP add.
     */
    @Test
    void heartbeatsOfTheWholeFleetFitTheBudget() {
        Fleet fleet = fleet();
        fleet.runMs(15_000);
        fleet.messages = 0;
        fleet.bytes = 0;
        int seconds = 12;
        fleet.runMs(seconds * 1000);
        double messages = 2.0 * fleet.messages / ROUTERS / seconds;
        double payload = 2.0 * fleet.bytes / ROUTERS / seconds;
        fleet.messages = 0;
        fleet.bytes = 0;
        fleet.states.keySet().forEach(id -> fleet.feed(id, Fleet.serving(1001)));
        double change = 2.0 * fleet.bytes / ROUTERS;
        double changeMessages = 2.0 * fleet.messages / ROUTERS;
        double onWire =
                payload
                        + change * CHANGES_PER_S
                        + HEADER_BYTES * (messages + changeMessages * CHANGES_PER_S);
        System.out.printf(
                "per daemon: %.1f messages/s, %.0f B/s, a change %.0f B, on wire %.0f B/s%n",
                messages, payload, change, onWire);
        System.out.println(
                "addresses known to the links: "
                        + fleet.learned.values().stream().mapToInt(Map::size).summaryStatistics());
        assertTrue(payload + change * CHANGES_PER_S < BUDGET_BYTES_PER_S / 2.0, "" + payload);
        assertTrue(onWire < BUDGET_BYTES_PER_S, "" + onWire);
        checkViews(fleet, ROUTERS / DOMAINS);
    }

    /**
     * Daemons with the default settings at four sizes: what heartbeats cost each with headers, and
     * how soon a router that falls silent without a reset is suspect and dead in its domain.
     */
    @ParameterizedTest
    @CsvSource({"8, 4", "40, 4", "120, 6", "390, 9"})
    void defaultHeartbeatsFitTheBudgetAtEverySize(int routers, int domains) {
        Fleet fleet = new Fleet(DAEMON, TICK_MS);
        for (int i = 0; i < routers; i++) {
            fleet.add(Fleet.router(i % domains, i / domains, 1_796_000_000_000L));
        }
        fleet.listAll(1000);
        fleet.runMs(SETTLE_MS);
        fleet.messages = 0;
        fleet.bytes = 0;
        fleet.runMs(12_000);
        double onWire = 2.0 * (fleet.bytes + HEADER_BYTES * fleet.messages) / routers / 12;
        RouterId seer = Fleet.router(0, 0, 0).router();
        RouterId silent = Fleet.router(0, 1, 0).router();
        fleet.paused.add(silent);
        long suspectMs = msUntil(fleet, seer, silent, MemberState.SUSPECT);
        long deadMs = suspectMs + msUntil(fleet, seer, silent, MemberState.DEAD);
        System.out.printf(
                "%d routers: %.0f B/s on the wire, silent one suspect after %d, dead after %d ms%n",
                routers, onWire, suspectMs, deadMs);
        assertTrue(onWire < HEARTBEAT_BYTES_PER_S, "" + onWire);
        assertTrue(suspectMs < 10_000, "suspect after " + suspectMs);
    }

    private static long msUntil(Fleet fleet, RouterId at, RouterId of, MemberState state) {
        long beginMs = fleet.clock.nowMs();
        while (fleet.stateOf(at, of) != state) {
            fleet.runMs(TICK_MS);
            assertTrue(fleet.clock.nowMs() - beginMs < 60_000, of + " is not " + state);
        }
        return fleet.clock.nowMs() - beginMs;
    }

    private static void checkViews(Fleet fleet, int perDomain) {
        for (RouterId id : fleet.states.keySet()) {
            Membership m = fleet.views.get(id);
            assertTrue(m.servingHere().size() >= perDomain - 1, id + " " + m.servingHere().size());
            assertTrue(m.members().size() <= perDomain + (DOMAINS - 1) * 6);
            assertTrue(fleet.book(id).entrySet().containsAll(fleet.servingOf(id).entrySet()));
            assertEquals(DOMAINS, m.domains().size());
            assertTrue(m.domains().stream().allMatch(d -> d.configRevision() == 1001));
        }
    }
}
