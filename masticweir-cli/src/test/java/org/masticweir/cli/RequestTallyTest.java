package org.masticweir.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How requests ended, read from the lines of routers' logs. */
class RequestTallyTest {
    private static final String AT = "2026-12-02T18:25:26.932Z INFO  ";

    private static ImmutableList<OutcomeRow> rows(String... lines) {
        RequestTally tally = new RequestTally();
        tally.begin();
        List.of(lines).forEach(l -> tally.take(AT + l));
        return tally.rows();
    }

    private static String goes(String id, String domain, int send, int running, String copy) {
        return "relay: request "
                + id
                + " goes to e1 in "
                + domain
                + ", send "
                + send
                + " after event none, anew; "
                + running
                + " running and 1 reading there, copy at "
                + copy
                + ", config 7";
    }

    /** Guards against requests that are not counted because of what a zone is called. */
    @Test
    void namesMayHaveBlanks() {
        ImmutableList<OutcomeRow> rows =
                rows(
                        "router: edge 1 in Ferrara Nord has started",
                        goes("s1", "Ferrara Nord", 1, 2, "e 9"),
                        "relay: request s1: e 1 in Ferrara Nord silent for 350 ms after 2887 ms",
                        "relay: request s1 answered, last event 140 after 5000 ms and 1 sends");
        assertEquals("whole, after a server silent", rows.get(0).cause());
        assertEquals(0, rows.get(0).far());
        assertEquals(2, rows.get(0).running());
    }

    @Test
    void streamsAreCountedByWhatHappenedToThem() {
        ImmutableList<OutcomeRow> rows =
                rows(
                        "router: r1 in a has started",
                        goes("s1", "a", 1, 0, "e9"),
                        "relay: request s1 answered, last event 140 after 5000 ms and 1 sends",
                        goes("s2", "b", 1, 2, "e9"),
                        "relay: request s2 answered, last event 140 after 7000 ms and 1 sends",
                        goes("s3", "a", 1, 0, "e9"),
                        "relay: request s3: e1 in a silent for 350 ms after 2887 ms",
                        goes("s3", "b", 2, 4, "e9"),
                        "relay: request s3 answered, last event 9 after 5772 ms and 2 sends");
        assertEquals(2, rows.size());
        OutcomeRow calm = rows.get(0);
        assertEquals(
                List.of("stream", "answered", "whole", 2),
                List.of(calm.kind(), calm.outcome(), calm.cause(), calm.requests()));
        assertEquals(0.5, calm.far());
        assertEquals(1, calm.running());
        assertEquals(1, calm.sends());
        assertEquals(7_000, calm.p99Ms());
        assertEquals("whole, after a server silent", rows.get(1).cause());
        assertEquals(2, rows.get(1).sends());
    }

    @Test
    void errorsAreCountedByTheirReason() {
        ImmutableList<OutcomeRow> rows =
                rows(
                        goes("p1", "a", 1, 0, "none"),
                        "relay: request p1 ends ENGINE_LOST MAY_HAVE_RUN after 9 ms and 1 sends,"
                                + " no retry budget",
                        "relay: request p2 ends OVERLOADED NOT_RUN after 2300 ms and 0 sends, too"
                                + " many wait",
                        goes("p3", "a", 1, 0, "none"),
                        "relay: request p3 answered, status 500 of e1 after 31 ms and 2 sends",
                        goes("p4", "a", 1, 0, "none"),
                        "relay: request p4 was left by its caller after 800 ms");
        assertEquals(
                List.of("its caller left", "no retry budget", "status 500", "too many wait"),
                rows.stream().map(OutcomeRow::cause).toList());
        assertEquals(-1, rows.get(1).far(), "the router's domain is not known");
    }

    @Test
    void aRequestWhoseRouterWasLostHasNoEnd() {
        ImmutableList<OutcomeRow> rows = rows(goes("s1", "a", 1, 0, "e9"));
        assertEquals(RequestFlight.NO_END, rows.get(0).outcome());
    }

    @Test
    void tableNamesItsColumns() {
        String table = OutcomeRow.table(rows(goes("s1", "a", 1, 0, "e9")));
        assertTrue(table.startsWith("kind"), table);
        assertTrue(table.contains("the log ends"), table);
    }
}
