package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.masticweir.id.RouterId;

/** What heartbeats cost at the size that decides the design. */
class FleetSizeTest {
    private static final int DOMAINS = 9;
    private static final int ROUTERS = 390;
    private static final int BUDGET_BYTES_PER_S = 12_000;
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
