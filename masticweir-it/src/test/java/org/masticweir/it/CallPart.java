package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import org.masticweir.bench.caller.CallRecord;

/**
 * What a caller saw on one connection; immutable.
 *
 * @param router id of the router that was asked
 * @param from index of the first token asked for
 * @param submitted whether it was a submission, and not a reading
 * @param disorders events out of order, and resets
 * @param result text that a plain service gave, empty when none came
 */
record CallPart(
        String router,
        boolean submitted,
        int from,
        int status,
        int generation,
        ImmutableIntArray tokens,
        int disorders,
        CallRecord.Outcome outcome,
        String code,
        String verdict,
        String result,
        long startedAtMs,
        long endedAtMs) {
    CallPart {
        checkNotNull(router, "router");
        checkNotNull(tokens, "tokens");
        checkNotNull(outcome, "outcome");
        checkNotNull(code, "code");
        checkNotNull(verdict, "verdict");
        checkNotNull(result, "result");
    }

    static CallPart of(String router, boolean submitted, int from, CallRecord record) {
        return new CallPart(
                router,
                submitted,
                from,
                record.status(),
                record.generation(),
                record.tokens(),
                record.disorders() + record.resets(),
                record.outcome(),
                record.code(),
                record.verdict(),
                "",
                record.startedAtMs(),
                record.endedAtMs());
    }

    boolean completed() {
        return outcome == CallRecord.Outcome.COMPLETED;
    }

    boolean broken() {
        return outcome == CallRecord.Outcome.BROKEN;
    }

    boolean saysNotRun() {
        return outcome == CallRecord.Outcome.ERROR && verdict.equals("NOT_RUN");
    }

    /** Returns the id of the last event, empty when no token came. */
    String lastEventId() {
        return tokens.isEmpty() ? "" : generation + ":" + (from + tokens.length() - 1);
    }

    @Override
    public String toString() {
        return String.format(
                "[%s %s from %d: status %d, %d tokens of %d, %s %s %s, %d to %d]",
                submitted ? "POST" : "GET",
                router,
                from,
                status,
                tokens.length(),
                generation,
                outcome,
                code,
                verdict,
                startedAtMs,
                endedAtMs);
    }
}
