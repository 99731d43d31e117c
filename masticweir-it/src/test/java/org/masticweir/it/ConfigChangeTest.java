package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.it.OperatorPort.Answer;
import org.masticweir.it.OperatorPort.Change;

/** Changes of the configuration while the platform's table loses answers and is out. */
@ExtendWith(SharedDomainBed.class)
final class ConfigChangeTest {
    /** Longest wait for an answer to a change: settle_wait_ms, domain_wait_ms and some slack. */
    private static final long ANSWER_BOUND_MS = 6_000;

    /** Longest time that an accepted change may take to be in force everywhere. */
    private static final long IN_FORCE_BOUND_MS = 3_000;

    private final DomainBed bed;
    private final OperatorPort a;
    private final OperatorPort b;

    ConfigChangeTest(DomainBed bed) {
        this.bed = bed;
        a = bed.operators(bed.routerA());
        b = bed.operators(bed.routerB());
    }

    private static Change change(long base, String id, int target) {
        return new Change(base, id, Documents.withLookupTarget(target));
    }

    /** Returns how often the history names {@code id}. */
    private long timesInHistory(String id) {
        long times = 0;
        for (JsonNode c : a.query("/v1/config/history").orElseThrow().path("changes")) {
            times += c.path("change_id").asText().equals(id) ? 1 : 0;
        }
        return times;
    }

    /**
     * An operator changes a target in quiet times.
     *
     * <p>The answer is that every domain holds it, which is so within seconds; each domain's delay
     * is printed. There is no fault.
     */
    @Nested
    final class NoFault {
        private static final int CHANGES = 5;

        @Test
        void itIsInForceInEveryDomainWithinSeconds() {
            try (RevisionWatch watch = RevisionWatch.over(bed, bed.routers())) {
                for (int i = 0; i < CHANGES; i++) {
                    long base = a.revision();
                    long sinceMs = RevisionWatch.nowMs();
                    Answer answer = a.apply(change(base, "quiet-" + i, 500 + i));
                    long tookMs = RevisionWatch.nowMs() - sinceMs;
                    assertEquals("accepted", answer.outcome(), answer::toString);
                    System.out.printf("config delay: no fault, accepted after %d ms%n", tookMs);
                    for (DomainRouter router : bed.routers()) {
                        long inForceMs =
                                watch.report(
                                        "no fault", router, base + 1, sinceMs, IN_FORCE_BOUND_MS);
                        assertTrue(inForceMs <= IN_FORCE_BOUND_MS);
                    }
                }
            }
        }
    }

    /**
     * Two operators propose different documents on one revision through two routers at once.
     *
     * <p>Exactly one is accepted; the other gets a conflict that names the accepted change. Both
     * routers then hold the accepted one. The cause is two people on call.
     */
    @Nested
    final class TwoChangesAtOnce {
        private static final int ROUNDS = 5;

        @Test
        void oneIsAcceptedAndTheOtherIsToldOfIt() {
            for (int i = 0; i < ROUNDS; i++) {
                long base = Math.max(a.revision(), b.revision());
                Change one = change(base, "one-" + i, 510 + i);
                Change two = change(base, "two-" + i, 520 + i);
                CompletableFuture<Answer> first = a.propose(one);
                CompletableFuture<Answer> second = b.propose(two);
                Answer ofOne = Await.get("one", first, ANSWER_BOUND_MS);
                Answer ofTwo = Await.get("two", second, ANSWER_BOUND_MS);
                boolean oneWon = ofOne.outcome().equals("accepted");
                Answer won = oneWon ? ofOne : ofTwo;
                Answer lost = oneWon ? ofTwo : ofOne;
                assertEquals("accepted", won.outcome(), won::toString);
                assertEquals(409, lost.status(), lost::toString);
                assertEquals("CONFLICT", lost.code());
                String message = lost.json().path("message").asText();
                assertTrue(message.contains(oneWon ? one.id() : two.id()), message);
                assertEquals(base + 1, a.revision());
                assertEquals(0, timesInHistory(oneWon ? two.id() : one.id()));
            }
        }
    }

    /**
     * The answer to the write that accepts a change is lost.
     *
     * <p>The write took effect; the router reads back, finds its own change and says accepted. The
     * change is there once. The cause is a connection to the platform that broke in between.
     */
    @Nested
    final class AnswerLost {
        @Test
        void readingSettlesItAndItIsAcceptedOnce() {
            long base = a.revision();
            long lostBefore = bed.platformCount("lost_answers");
            bed.platformFault("{\"lose_answers\":1,\"lose_answers_table\":\"config\"}");
            Answer answer = a.apply(change(base, "lost-answer", 530));
            assertEquals("accepted", answer.outcome(), answer::toString);
            assertEquals(base + 1, a.revision());
            assertEquals(lostBefore + 1, bed.platformCount("lost_answers"), "answers lost");
            assertEquals(1, timesInHistory("lost-answer"));
        }
    }

    /**
     * The table goes out before an operator proposes a change.
     *
     * <p>The operator is told in time that nothing is written, and that stays true after the
     * outage. The cause is an outage of the table service.
     */
    @Nested
    final class OutBefore {
        @Test
        void itIsNotWrittenAndStaysSo() {
            long base = a.revision();
            bed.platformFault("{\"outage_ms\":60000}");
            long sinceMs = RevisionWatch.nowMs();
            Answer answer = a.apply(change(base, "out-before", 540));
            long tookMs = RevisionWatch.nowMs() - sinceMs;
            System.out.printf("config answer: table out before, after %d ms%n", tookMs);
            assertTrue(tookMs <= ANSWER_BOUND_MS, () -> tookMs + " ms");
            assertEquals("PLATFORM_UNAVAILABLE", answer.code(), answer::toString);
            assertEquals("NOT_RUN", answer.json().path("verdict").asText());
            bed.platformFault("{\"outage_ms\":0}");
            Await.holds("not written", 2_000, () -> a.revision() == base && b.revision() == base);
            assertEquals(0, timesInHistory("out-before"));
        }
    }

    /**
     * The table goes out while the write of a change is under way, and its answer is lost.
     *
     * <p>As long as the outage lasts the operator may not be told accepted, unless the table was
     * read, nor that it is not written; asking again with the same change id afterwards gives its
     * outcome. The cause is a table service that fails as it commits.
     */
    @Nested
    final class OutDuring {
        private static final long WRITTEN_BOUND_MS = 5_000;

        @Test
        void theOutcomeIsUnknownUntilTheTableIsReadAgain() {
            long base = a.revision();
            Change change = change(base, "out-during", 550);
            long lostBefore = bed.platformCount("lost_answers");
            bed.platformFault(
                    "{\"slow_ms\":300,\"lose_answers\":1,\"lose_answers_table\":\"config\"}");
            long sinceMs = RevisionWatch.nowMs();
            CompletableFuture<Answer> asked = a.propose(change);
            Await.until(
                    "write took effect",
                    WRITTEN_BOUND_MS,
                    () -> bed.platformCount("lost_answers") > lostBefore);
            bed.platformFault("{\"slow_ms\":0,\"outage_ms\":60000}");
            Answer answer = Await.get("answer", asked, OperatorPort.ANSWER_BOUND_MS);
            long tookMs = RevisionWatch.nowMs() - sinceMs;
            System.out.printf(
                    "config answer: table out during, %s after %d ms%n", answer.outcome(), tookMs);
            assertTrue(tookMs <= ANSWER_BOUND_MS, () -> tookMs + " ms");
            assertEquals(200, answer.status(), answer::toString);
            List<String> possible = List.of("unknown", "accepted", "pending");
            assertTrue(possible.contains(answer.outcome()), answer::toString);
            assertTrue(!answer.outcome().equals("accepted") || b.revision() == base + 1);
            bed.platformFault("{\"outage_ms\":0}");
            Answer again = a.apply(change);
            assertEquals("accepted", again.outcome(), again::toString);
            assertEquals(base + 1, again.revision());
            assertEquals(1, timesInHistory(change.id()));
        }

        @Test
        void aShortOutageEndsInOneAnswerThatIsTrue() {
            long base = a.revision();
            bed.platformFault("{\"slow_ms\":200}");
            CompletableFuture<Answer> asked = a.propose(change(base, "short-out", 551));
            bed.platformFault("{\"slow_ms\":0,\"outage_ms\":1500}");
            Answer answer = Await.get("answer", asked, OperatorPort.ANSWER_BOUND_MS);
            assertEquals("accepted", answer.outcome(), answer::toString);
            assertEquals(1, timesInHistory("short-out"));
        }
    }

    /**
     * The table goes out just after a change was accepted.
     *
     * <p>The change stays in force everywhere and callers are served, though no router can read the
     * table. The cause is an outage of the table service.
     */
    @Nested
    final class OutAfter {
        @Test
        void itStaysInForceAndCallersAreServed() {
            long base = a.revision();
            Answer answer = a.apply(change(base, "out-after", 560));
            bed.platformFault("{\"outage_ms\":60000}");
            assertEquals("accepted", answer.outcome(), answer::toString);
            Await.until(
                    "outage seen",
                    IN_FORCE_BOUND_MS,
                    () -> a.status().path("platform").asText().equals("unreachable"));
            Await.holds(
                    "in force", 1_000, () -> a.revision() == base + 1 && b.revision() == base + 1);
            bed.check().whole(bed.submit(bed.routerA(), Requests.report(50)));
            bed.check().whole(bed.submit(bed.routerB(), Requests.report(50)));
        }
    }
}
