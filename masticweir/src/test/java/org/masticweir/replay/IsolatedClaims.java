package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.masticweir.claims.ClaimDecision;
import org.masticweir.claims.ClaimPermit;
import org.masticweir.claims.ClaimPolicy;
import org.masticweir.claims.ClaimRow;
import org.masticweir.claims.ClaimService;
import org.masticweir.claims.ClaimServiceSettings;
import org.masticweir.claims.ClaimStatus;
import org.masticweir.claims.ClaimSweep;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.time.ManualScheduler;

/** Replays an hour without the platform on the claims of routers under a steady load of letters. */
final class IsolatedClaims extends Replay {
    private static final TeamId TEAM = TeamId.of("letters");
    private static final long PATIENCE_MS = 3_000;
    private static final long RETENTION_MS = 86_400_000;
    private static final long SWEEP_EVERY_MS = 3_600_000;
    private static final int PAGE_ROWS = 4_096;
    private static final long SECOND_MS = 1_000;
    private static final long MINUTE_MS = 60_000;

    private final boolean withoutTable;
    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryTable table = new MemoryTable();
    private final Map<String, Router> routers = new LinkedHashMap<>();
    private final Map<RequestId, Letter> letters = new TreeMap<>((a, b) -> compare(a, b));
    private final ClaimSweep sweep =
            ClaimSweep.withRetention(RETENTION_MS, PAGE_ROWS, ClaimPolicy.defaults());
    private final ObjectNode seen = JsonNodeFactory.instance.objectNode();
    private int withoutRow;

    /** Under {@code withoutTable} the plain policy is replayed: an outage stops no letter. */
    IsolatedClaims(boolean withoutTable) {
        this.withoutTable = withoutTable;
        scheduler.at(SWEEP_EVERY_MS, this::sweep);
    }

    /** One router, its claims and its link to the platform. */
    private final class Router {
        private final String domain;
        private final CutTable reached = new CutTable(table, scheduler);
        private final ClaimService claims;
        private int ran;

        private Router(String id, String domain) {
            this.domain = domain;
            claims =
                    ClaimService.create(
                            RouterId.of(id),
                            reached,
                            scheduler,
                            scheduler.clock(),
                            ClaimServiceSettings.defaults());
        }
    }

    /** One letter and what became of it. */
    private static final class Letter {
        private int runs;
        private boolean ended;
    }

    private static int compare(RequestId a, RequestId b) {
        return a.value().compareTo(b.value());
    }

    @Override
    void passTo(long ms) {
        scheduler.runTo(ms);
        moveTo(ms);
    }

    @Override
    void apply(Trace.Event event) {
        switch (event.kind()) {
            case "up" ->
                    routers.put(
                            event.text("router"),
                            new Router(event.text("router"), event.text("domain")));
            case "offered" -> offer(event, 0);
            case "cut_off" ->
                    link(event, CutTable.Link.valueOf(Ascii.toUpperCase(event.text("shows_as"))));
            case "healed" -> healed(event);
            case "came_back" -> comeBack(event);
            case "looked" -> look(event.text("as"));
            case "counted_rows" -> seen.put(event.text("as"), rows().size());
            default -> throw unknown(event);
        }
    }

    /** Offers a letter each so often; its caller asks at a second router if the first refuses. */
    private void offer(Trace.Event event, int n) {
        long now = scheduler.clock().nowMs();
        if (now >= event.number("until_ms")) {
            return;
        }
        RequestId id = RequestId.of(event.text("router") + "-" + event.atMs() + "-" + n);
        letters.put(id, new Letter());
        submit(event, event.text("router"), id);
        if (event.flag("twice")) {
            submit(event, event.text("then"), id);
        }
        scheduler.at(now + event.number("every_ms"), () -> offer(event, n + 1));
    }

    /** All callers who were refused ask again at one moment. */
    private void comeBack(Trace.Event event) {
        letters.forEach(
                (id, letter) -> {
                    if (letter.runs == 0) {
                        submit(event, event.text("router"), id);
                    }
                });
    }

    private void submit(Trace.Event event, String router, RequestId id) {
        Router r = routers.get(router);
        r.claims
                .claim(TEAM, id, scheduler.clock().nowMs() + PATIENCE_MS)
                .thenAccept(decision -> decided(event, router, id, decision));
    }

    private void decided(Trace.Event event, String router, RequestId id, ClaimDecision decision) {
        Router r = routers.get(router);
        if (decision instanceof ClaimDecision.Granted may) {
            countRow(id, router);
            run(event, r, id);
            scheduler.at(
                    scheduler.clock().nowMs() + event.number("runs_ms"),
                    () -> ended(r, id, may.permit()));
        } else if (decision instanceof ClaimDecision.Refused no) {
            if (withoutTable) {
                run(event, r, id);
            }
            askAgain(event, router, id, no.error());
        }
    }

    private void askAgain(
            Trace.Event event, String router, RequestId id, MasticweirException refusal) {
        if (event.flag("patient")) {
            long wait = refusal.retryAfterMs().orElseThrow();
            scheduler.at(scheduler.clock().nowMs() + wait, () -> submit(event, router, id));
        } else if (!router.equals(event.text("then"))) {
            submit(event, event.text("then"), id);
        }
    }

    /** A permission is worth nothing unless the table holds this router's claim at that moment. */
    private void countRow(RequestId id, String router) {
        Row row = table.row(ClaimRow.keyOf(TEAM, id));
        boolean committed =
                row.isPresent()
                        && ClaimRow.decode(row.value()).owner().value().equals(router)
                        && ClaimRow.decode(row.value()).status() == ClaimStatus.CLAIMED;
        withoutRow += committed ? 0 : 1;
    }

    private void run(Trace.Event event, Router r, RequestId id) {
        letters.get(id).runs++;
        r.ran++;
    }

    private void ended(Router r, RequestId id, ClaimPermit permit) {
        letters.get(id).ended = true;
        r.claims.reportEnded(permit, Verdict.COMPLETED, "result:sent");
    }

    private void link(Trace.Event event, CutTable.Link now) {
        routers.values().stream()
                .filter(r -> r.domain.equals(event.text("domain")))
                .forEach(r -> r.reached.become(now));
    }

    private void healed(Trace.Event event) {
        link(event, CutTable.Link.UP);
        long at = event.atMs();
        scheduler.at(at + MINUTE_MS, () -> countWrites(event.text("domain"), at));
    }

    /** Counts the transactions of each router in the busiest second of the first minute. */
    private void countWrites(String domain, long healedAtMs) {
        routers.forEach(
                (id, r) -> {
                    if (r.domain.equals(domain)) {
                        long most = 0;
                        for (long s = 0; s < MINUTE_MS; s += SECOND_MS) {
                            long from = healedAtMs + s;
                            most = Math.max(most, r.reached.sent(from, from + SECOND_MS));
                        }
                        seen.put(id + "_most_transactions_a_second", Math.toIntExact(most));
                    }
                });
    }

    private void look(String name) {
        ObjectNode at = seen.putObject(name);
        routers.forEach((id, r) -> at.put(id + "_ran", r.ran));
        at.put("ended_yet_not_stored", unsettled());
        at.put("refused_yet_claimed", refusedYetClaimed());
        at.put("rows", rows().size());
    }

    private int unsettled() {
        int n = 0;
        for (Map.Entry<RequestId, Letter> e : letters.entrySet()) {
            Row row = table.row(ClaimRow.keyOf(TEAM, e.getKey()));
            boolean done =
                    row.isPresent() && ClaimRow.decode(row.value()).status() == ClaimStatus.DONE;
            n += e.getValue().ended && !done ? 1 : 0;
        }
        return n;
    }

    /** Such a row keeps the letter out for a day, though nobody will ever send it. */
    private int refusedYetClaimed() {
        int n = 0;
        for (Row row : rows()) {
            Letter letter = letters.get(letterOf(row));
            boolean claimed = ClaimRow.decode(row.value()).status() == ClaimStatus.CLAIMED;
            n += claimed && letter.runs == 0 ? 1 : 0;
        }
        return n;
    }

    private static RequestId letterOf(Row row) {
        return RequestId.of(row.key().key().substring(TEAM.value().length() + 1));
    }

    private List<Row> rows() {
        List<Row> all = new ArrayList<>();
        ReadOutcome<List<Row>> read = table.list(ClaimRow.TABLE, "", Integer.MAX_VALUE, 0).join();
        all.addAll(((ReadOutcome.Done<List<Row>>) read).value());
        return all;
    }

    private void sweep() {
        ReadOutcome<List<Row>> page =
                table.list(ClaimRow.TABLE, sweep.nextPageAfter(), sweep.pageRows(), 0).join();
        sweep.onPage(((ReadOutcome.Done<List<Row>>) page).value(), scheduler.clock().wallMs())
                .ifPresent(table::apply);
        scheduler.at(scheduler.clock().nowMs() + SWEEP_EVERY_MS, this::sweep);
    }

    @Override
    JsonNode outcome() {
        seen.put("most_runs", letters.values().stream().mapToInt(l -> l.runs).max().orElse(0));
        seen.put("permitted_without_row", withoutRow);
        return seen;
    }
}
