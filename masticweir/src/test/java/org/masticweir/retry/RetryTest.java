package org.masticweir.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.retry.RetryDecision.GiveUp;
import org.masticweir.retry.RetryDecision.Retry;

/** Tests which attempts are retried, and the limit of retries. */
class RetryTest {
    private static final WorkClassId REPORTS = WorkClassId.of("reports");
    private static final TeamId TEAM = TeamId.of("a");
    private final RetryPolicy policy =
            RetryPolicy.create(RetryBudget.create(), () -> new Random(5));

    private static FailedAttempt failed(
            Verdict verdict, boolean idempotent, int sends, long dueMs) {
        return new FailedAttempt(
                REPORTS,
                TEAM,
                ErrorCode.ENGINE_REFUSED,
                verdict,
                idempotent,
                sends,
                dueMs,
                200,
                true,
                OptionalLong.empty());
    }

    /** Decisions of the policy. */
    @Nested
    class Policy {
        /*
         * A lost answer must not be treated as a refusal: the engine may have run the request, and a retry at another engine could send a family the same letter twice.
         */
        @Test
        void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
            RetryDecision d = policy.decide(failed(Verdict.MAY_HAVE_RUN, false, 1, 9_000), 0);
            GiveUp g = assertInstanceOf(GiveUp.class, d);
            assertEquals(Verdict.MAY_HAVE_RUN, g.verdict());
            assertTrue(g.retryAfterMs().isEmpty());
        }

        @Test
        void safeRequestIsRetriedUpToMaxSends() {
            for (boolean idempotent : List.of(true, false)) {
                FailedAttempt f = failed(Verdict.NOT_RUN, idempotent, 1, 9_000);
                assertInstanceOf(Retry.class, policy.decide(f, 0));
            }
            RetryDecision third = policy.decide(failed(Verdict.NOT_RUN, true, 3, 9_000), 0);
            assertTrue(((GiveUp) third).retryAfterMs().isPresent());
        }

        @Test
        void nothingIsRetriedPastDeadline() {
            FailedAttempt f = failed(Verdict.NOT_RUN, true, 1, 1_000);
            assertInstanceOf(GiveUp.class, policy.decide(f, 850));
            RetryDecision past = policy.decide(f, 1_000);
            assertEquals(ErrorCode.DEADLINE_EXCEEDED, ((GiveUp) past).code());
        }
    }

    /** Limits of the budget. */
    @Nested
    class Budget {
        @Test
        void floorsOfSmallTeamsDoNotAddUp() {
            RetryBudget budget = RetryBudget.create();
            int retries = 0;
            for (int n = 0; n < 1_000; n++) {
                TeamId team = TeamId.of("t" + n);
                budget.recordFirstSend(REPORTS, team, n);
                retries += budget.tryRetry(REPORTS, team, n) ? 1 : 0;
            }
            assertTrue(retries <= 100, retries + " retries of 1000 first sends");
        }

        @Test
        void oneTeamCannotExhaustShareOfAnother() {
            RetryBudget budget = RetryBudget.create();
            for (int n = 0; n < 1_000; n++) {
                budget.recordFirstSend(REPORTS, TEAM, 0);
                budget.recordFirstSend(REPORTS, TeamId.of("b"), 0);
            }
            int ofA = 0;
            while (budget.tryRetry(REPORTS, TEAM, 0)) {
                ofA++;
            }
            assertEquals(100, ofA);
            assertTrue(budget.tryRetry(REPORTS, TeamId.of("b"), 0));
            assertFalse(budget.tryRetry(REPORTS, TEAM, 9_000));
        }
    }

    @Property(seed = "7", tries = 200)
    void sendsAreAtMostElevenTenthsOfFirstSends(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 300) Integer> gapsMs,
            @ForAll @IntRange(min = 0, max = 2) int floor) {
        RetryBudget budget = RetryBudget.create(0.1, floor);
        long now = 0;
        int retries = 0;
        for (int gap : gapsMs) {
            now += gap;
            budget.recordFirstSend(REPORTS, TEAM, now);
            for (int n = 0; n < 3 && budget.tryRetry(REPORTS, TEAM, now); n++) {
                retries++;
            }
        }
        long windows = now / (SendWindow.BUCKET_COUNT * SendWindow.BUCKET_MS) + 2;
        double allowed = Math.max(0.1 * gapsMs.size(), 0) + floor * windows;
        assertTrue(retries <= allowed, retries + " retries, " + gapsMs.size() + " first sends");
    }
}
