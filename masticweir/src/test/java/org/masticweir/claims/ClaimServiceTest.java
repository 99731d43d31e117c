package org.masticweir.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.Row;
import org.masticweir.store.Transaction;
import org.masticweir.time.Clock;

/** Tests the claim service with an in-memory table. */
class ClaimServiceTest {
    private static final TeamId TEAM = TeamId.of("t");
    private static final RequestId LETTER = RequestId.of("letter");
    private static final long CALLER_TIMEOUT_MS = 5_000;

    private final Clock clock = Clock.system();
    private final MemoryTable table = new MemoryTable();
    private final ScheduledExecutorService control = Executors.newScheduledThreadPool(1);
    private final ClaimService firstService = service("a");
    private final ClaimService secondService = service("b");

    private ClaimService service(String id) {
        return ClaimService.create(
                RouterId.of(id), table, control, clock, ClaimServiceSettings.defaults());
    }

    @AfterEach
    void stop() {
        control.shutdownNow();
    }

    private CompletableFuture<ClaimDecision> claim(ClaimService service, RequestId request) {
        return service.claim(TEAM, request, clock.nowMs() + CALLER_TIMEOUT_MS);
    }

    private ClaimPermit permitOf(ClaimDecision decision) {
        return assertInstanceOf(ClaimDecision.Granted.class, decision).permit();
    }

    /** The table responds. */
    @Nested
    class TableReachable {
        @Test
        void manyClaimsShareFewTransactions() {
            List<CompletableFuture<ClaimDecision>> claims = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                claims.add(claim(firstService, RequestId.of("r" + i)));
            }
            claims.forEach(c -> permitOf(c.join()));
            assertTrue(table.transactions() <= 20, "transactions " + table.transactions());
        }

        @Test
        void secondSubmissionReceivesTheOwner() {
            permitOf(claim(firstService, LETTER).join());
            ClaimDecision other = claim(secondService, LETTER).join();
            ClaimRow row = assertInstanceOf(ClaimDecision.AlreadyClaimed.class, other).row();
            assertEquals(RouterId.of("a"), row.owner());
            assertEquals(Verdict.MAY_HAVE_RUN, row.verdict());
        }

        /**
         * One letter is claimed by another router; claims in the same transaction must not fail.
         */
        @Test
        void conflictOfOneDoesNotFailTheOthers() {
            permitOf(claim(secondService, LETTER).join());
            List<CompletableFuture<ClaimDecision>> claims = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                claims.add(claim(firstService, RequestId.of("r" + i)));
            }
            CompletableFuture<ClaimDecision> hit = claim(firstService, LETTER);
            claims.forEach(c -> permitOf(c.join()));
            assertInstanceOf(ClaimDecision.AlreadyClaimed.class, hit.join());
        }

        @Test
        void sweepDeletesOldClaimsOnly() {
            ClaimPolicy policy = ClaimPolicy.defaults();
            long retentionMs = ClaimSweep.RETENTION_FACTOR * policy.sendWithinMs();
            permitOf(claim(firstService, LETTER).join());
            Row row = table.row(ClaimRow.keyOf(TEAM, LETTER));
            long madeMs = ClaimRow.decode(row.value()).wallMs();
            ClaimSweep sweep = ClaimSweep.withRetention(retentionMs, 10, policy);
            assertTrue(sweep.onPage(List.of(row), madeMs + retentionMs).isEmpty());
            Transaction t = sweep.onPage(List.of(row), madeMs + retentionMs + 1).orElseThrow();
            table.apply(t);
            assertTrue(!table.row(row.key()).isPresent());
        }
    }

    /** The table loses responses or has an outage. */
    @Nested
    class TableUnreachable {
        /**
         * The claim is written and the response is lost; the caller must still receive the letter,
         * exactly once.
         */
        @Test
        void lostAnswerIsSettledByTheNonce() {
            table.loseAnswers(1);
            permitOf(claim(firstService, LETTER).join());
            assertInstanceOf(
                    ClaimDecision.AlreadyClaimed.class, claim(secondService, LETTER).join());
        }

        /** While the table is unavailable the caller is refused at once with a retry delay. */
        @Test
        void outageRefusesAtOnceWithRetryAfter() {
            table.setOut(true);
            long startMs = clock.nowMs();
            ClaimDecision decision = claim(firstService, LETTER).join();
            var error = assertInstanceOf(ClaimDecision.Refused.class, decision).error();
            assertEquals(Verdict.NOT_RUN, error.verdict());
            assertTrue(error.retryAfterMs().isPresent());
            assertTrue(clock.nowMs() - startMs < CALLER_TIMEOUT_MS / 2, "waited for the deadline");
        }

        /**
         * All responses are lost and the caller is refused, though the claim was committed. Its
         * owner releases it later, so that a retry of the caller succeeds.
         */
        @Test
        void claimGivenUpIsReleasedForTheNextSubmission() {
            table.loseAnswers(ClaimPolicy.defaults().maxTries());
            ClaimDecision refused = claim(firstService, LETTER).join();
            var error = assertInstanceOf(ClaimDecision.Refused.class, refused).error();
            assertTrue(error.retryAfterMs().isPresent(), "has a retry delay");
            ClaimDecision next = claim(secondService, LETTER).join();
            while (next instanceof ClaimDecision.AlreadyClaimed) {
                next = claim(secondService, LETTER).join();
            }
            permitOf(next);
        }
    }
}
