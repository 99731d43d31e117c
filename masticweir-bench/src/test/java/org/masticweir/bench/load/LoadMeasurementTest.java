package org.masticweir.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.bench.report.ClassResult;
import org.masticweir.bench.report.LoadResult;
import org.masticweir.bench.report.NamedCount;
import org.masticweir.bench.report.TokenCheck;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.bench.standin.EngineRun;
import org.masticweir.standins.engine.TokenSource;

/** Tests the figures drawn from what callers saw. */
class LoadMeasurementTest {
    private static final LoadShape SHAPE = LoadShape.of(Mix.SPAARSTRAAL, 10, 1, 1, 1);
    private static final long SEED = 42;

    private static ImmutableIntArray tokens(int... indexes) {
        ImmutableIntArray.Builder tokens = ImmutableIntArray.builder();
        for (int i : indexes) {
            tokens.add(TokenSource.token(SEED, i));
        }
        return tokens.build();
    }

    private static LoadResult measure(EngineLedger ledger, ObservedCall... calls) {
        return LoadMeasurement.measure(SHAPE, ImmutableList.copyOf(calls), 0, ledger);
    }

    private static ClassResult lookups(LoadResult result) {
        return result.classes().get(2);
    }

    /** Waits of calls that went out late. */
    @Nested
    class CoordinatedOmission {
        /**
         * The load was held up: a call meant for 100 ms went out at 900 ms and was answered at
         * once. A user would have waited 810 ms for the first token, and the target of 300 ms is
         * missed.
         */
        @Test
        void isCorrectedByCountingFromTheIntendedArrival() {
            ObservedCall late =
                    Calls.completed("k", 100, 900, tokens(0, 1, 2, 3), 910, 920, 930, 940);
            ClassResult result = lookups(measure(EngineLedger.empty(), late));
            assertEquals(810, result.firstToken().maxMs());
            assertEquals(840, result.total().maxMs());
            assertEquals(10, result.tokenGap().maxMs());
            assertEquals(0, result.withinTarget());
        }
    }

    @Test
    void countsGoodputWithinTheTargets() {
        ObservedCall call = Calls.completed("k", 100, 100, tokens(0, 1, 2, 3), 110, 120, 130, 140);
        ClassResult result = lookups(measure(EngineLedger.empty(), call));
        assertEquals(1, result.withinTarget());
        assertEquals(0.1, result.goodputPerS(), 1e-9);
    }

    /**
     * A caller asks for a stream, waits in the queue and gets an error event that says NOT_RUN, or,
     * come back, that this submission was not sent: both are refusals, though their status is 200.
     */
    @Test
    void countsCallsThatWereNotRunAsRefused() {
        ObservedCall done = Calls.completed("k", 0, 0, tokens(0), 10);
        ClassResult result =
                lookups(
                        measure(
                                EngineLedger.empty(),
                                Calls.ended(done, "OVERLOADED", "NOT_RUN", ""),
                                Calls.ended(done, "OVERLOADED", "MAY_HAVE_RUN", "NOT_SENT"),
                                Calls.ended(done, "ENGINE_LOST", "MAY_HAVE_RUN", "")));
        assertEquals(ImmutableList.of(new NamedCount("OVERLOADED", 2)), result.refused());
        assertEquals(ImmutableList.of(new NamedCount("MAY_HAVE_RUN", 1)), result.failed());
    }

    @Test
    void countsCallsWithoutAnEndAsFailed() {
        ObservedCall done = Calls.completed("k", 0, 0, tokens(0), 10);
        ObservedCall open = ObservedCall.unfinished(done.planned(), 0, ImmutableList.of(), 5000);
        ClassResult result = lookups(measure(EngineLedger.empty(), open));
        assertEquals(0, result.completed());
        assertEquals(ImmutableList.of(new NamedCount("UNFINISHED", 1)), result.failed());
    }

    /** Answers beside the tokens of their seed. */
    @Nested
    class Tokens {
        private TokenCheck align(boolean whole, ImmutableIntArray tokens) {
            return TokenChecker.align(tokens, SEED, 4, whole);
        }

        @Test
        void passWhenEachCameOnce() {
            assertEquals(new TokenCheck(1, 0, 0, 0, 0), align(true, tokens(0, 1, 2, 3)));
        }

        @Test
        void areLostInTheMiddleAndAtTheEndOfAWholeAnswer() {
            assertEquals(new TokenCheck(1, 0, 1, 0, 0), align(true, tokens(0, 2, 3)));
            assertEquals(new TokenCheck(1, 0, 2, 0, 0), align(true, tokens(0, 1)));
            assertEquals(new TokenCheck(1, 0, 0, 0, 0), align(false, tokens(0, 1)));
        }

        @Test
        void areRepeatedWhenOneCameBefore() {
            assertEquals(new TokenCheck(1, 0, 0, 2, 0), align(true, tokens(0, 1, 0, 1, 2, 3)));
        }

        @Test
        void areMixedWhenTheyBelongToAnotherSeed() {
            ImmutableIntArray other = ImmutableIntArray.of(TokenSource.token(SEED + 1, 1));
            ImmutableIntArray mixed =
                    ImmutableIntArray.builder()
                            .addAll(tokens(0))
                            .addAll(other)
                            .addAll(tokens(2, 3))
                            .build();
            assertEquals(new TokenCheck(1, 0, 1, 0, 1), align(true, mixed));
        }

        @Test
        void areComparedWithTheSeedThatAnEngineRecorded() {
            ObservedCall call = Calls.completed("k", 0, 0, tokens(0, 1, 1, 3), 1, 2, 3, 4);
            EngineRun run = new EngineRun("e1", call.requestId(), 1, 1, SEED, 0, 4);
            EngineLedger ledger = EngineLedger.of(ImmutableList.of(run), 3);
            assertEquals(new TokenCheck(1, 0, 1, 1, 0), measure(ledger, call).tokens());
            assertEquals(1, measure(EngineLedger.empty(), call).tokens().uncheckedCalls());
        }
    }
}
