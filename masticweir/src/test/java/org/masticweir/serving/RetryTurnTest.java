package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.RecoveryPreset;
import org.masticweir.config.Reliability;
import org.masticweir.config.WorkClass;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.retry.RetryBudget;
import org.masticweir.retry.RetryDecision;
import org.masticweir.retry.RetryDecision.GiveUp;
import org.masticweir.retry.RetryDecision.Retry;
import org.masticweir.retry.RetryPolicy;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RouteChoice;
import org.masticweir.routing.SpeedEstimate;

/** Tests which sends after the first are allowed to a request. */
final class RetryTurnTest {
    private static final ModelId MODEL = ModelId.of("report");
    private static final WorkClass REPORTS =
            new WorkClass(
                    WorkClassId.of("reports"),
                    2_000,
                    10_000,
                    Reliability.BEST_EFFORT,
                    RecoveryPreset.PROMPT);
    private static final int FLOOR = 3;
    private static final long ACCEPTED_AT_MS = 1_000;

    private final RetryBudget budget = RetryBudget.create(0.1, FLOOR);
    private final RetryPolicy policy = RetryPolicy.create(budget, () -> new SplittableRandom(1));

    private RetryTurn turnOf(String id, boolean idempotent) {
        RequestSpec spec =
                new RequestSpec(
                        RequestId.of(id),
                        TeamId.of("advisers"),
                        REPORTS.id(),
                        MODEL,
                        idempotent,
                        ImmutableIntArray.of(1, 2),
                        "",
                        10,
                        false);
        return new RetryTurn(budget, policy, new RunningRequest(spec, ACCEPTED_AT_MS), REPORTS);
    }

    private static RouteChoice.Chosen next() {
        BackEnd backEnd =
                new BackEnd(
                        EngineId.of("e2"),
                        new InetSocketAddress("127.0.0.1", 9_000),
                        DomainId.of("nl-west-a"),
                        "report",
                        false);
        SpeedEstimate speed = SpeedEstimate.of(10, 15, 0.3, 3_000);
        EngineView view =
                EngineView.of(backEnd, MODEL, "3", LoadReport.of(0, 0, 16), ACCEPTED_AT_MS, speed);
        return new RouteChoice.Chosen(view, 20, 1);
    }

    private static RetryDecision refusedOnce(RetryTurn turn, long nowMs) {
        turn.sent(nowMs);
        turn.failed(ErrorCode.OVERLOADED, 700);
        assertTrue(turn.pending());
        RetryDecision decision = turn.decide(next(), Verdict.NOT_RUN, nowMs);
        assertFalse(turn.pending());
        return decision;
    }

    /** Engines lost before they gave a token. */
    @Nested
    class Losses {
        /*
         * In an outage more is sent than the budget says. An engine dies with requests that have no
         * token, each is sent again as a recovery, and refusals still find the whole budget.
         */
        @Test
        void lostSendsLeaveLessForRefusals() {
            for (int n = 0; n < FLOOR; n++) {
                RetryTurn lost = turnOf("lost" + n, true);
                lost.sent(ACCEPTED_AT_MS);
                lost.resent(ACCEPTED_AT_MS);
            }
            assertInstanceOf(GiveUp.class, refusedOnce(turnOf("refused", true), ACCEPTED_AT_MS));
        }

        @Test
        void sendThatNeverLeftIsCountedOnce() {
            RetryTurn lost = turnOf("lost", true);
            lost.sent(ACCEPTED_AT_MS);
            for (int n = 0; n < FLOOR; n++) {
                lost.resent(ACCEPTED_AT_MS);
                lost.neverLeft();
            }
            assertInstanceOf(Retry.class, refusedOnce(turnOf("refused", true), ACCEPTED_AT_MS));
        }
    }

    /** Refusals. */
    @Nested
    final class Refused {
        // All engines refuse in overload. Were every refusal sent again, the sends that make up the
        // overload would double; past the budget a request ends at once, not run, told when to
        // come back.
        @Test
        void pastTheBudgetTheRequestEndsAtOnce() {
            for (int i = 0; i < FLOOR; i++) {
                assertInstanceOf(Retry.class, refusedOnce(turnOf("r" + i, true), 1_100));
            }
            GiveUp end = assertInstanceOf(GiveUp.class, refusedOnce(turnOf("last", true), 1_100));
            assertEquals(Verdict.NOT_RUN, end.verdict());
            assertEquals(ErrorCode.OVERLOADED, end.code());
            assertTrue(end.retryAfterMs().getAsLong() >= 700);
        }

        @Test
        void aRetryThatWouldBeLateIsNotSent() {
            GiveUp end = assertInstanceOf(GiveUp.class, refusedOnce(turnOf("r1", true), 10_990));
            assertEquals(ErrorCode.OVERLOADED, end.code());
        }

        @Test
        void thirdSendIsTheLast() {
            RetryTurn turn = turnOf("r1", true);
            assertInstanceOf(Retry.class, refusedOnce(turn, 1_100));
            assertInstanceOf(Retry.class, refusedOnce(turn, 1_200));
            assertInstanceOf(GiveUp.class, refusedOnce(turn, 1_300));
        }
    }

    /** Sends in doubt. */
    @Nested
    final class InDoubt {
        // A letter is sent and the answer is lost. A second send could print it twice: the request
        // ends, and nothing says that it was not run.
        @Test
        void aNonIdempotentSendInDoubtIsNeverRepeated() {
            RetryTurn turn = turnOf("letter", false);
            turn.sent(1_100);
            turn.failed(ErrorCode.ENGINE_LOST, 0);
            GiveUp end =
                    assertInstanceOf(
                            GiveUp.class, turn.decide(next(), Verdict.MAY_HAVE_RUN, 1_100));
            assertEquals(Verdict.MAY_HAVE_RUN, end.verdict());
        }
    }
}
