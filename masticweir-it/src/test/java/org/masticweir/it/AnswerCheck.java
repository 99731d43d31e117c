package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.standins.engine.TokenSource;

/**
 * Checks an answer against what the engines recorded of its request.
 *
 * <p>A token follows from its generation's seed and its index, and the seed from the request, so a
 * token that is missing, repeated, of another generation or of another request shows.
 */
final class AnswerCheck {
    private final RunRecords bed;

    AnswerCheck(RunRecords bed) {
        this.bed = checkNotNull(bed, "bed");
    }

    /** Fails unless the caller got the whole answer to its own request, each token once. */
    void whole(RunningCall call) {
        whole(call.request(), call.record());
    }

    /** Fails unless {@code record} is the whole answer to {@code request}, each token once. */
    void whole(CallRequest request, CallRecord record) {
        assertEquals(CallRecord.Outcome.COMPLETED, record.outcome(), () -> summary(record));
        assertEquals("COMPLETED", record.verdict());
        assertEquals(request.maxTokens(), record.tokens().length(), "tokens");
        beginning(request, record);
    }

    /** Fails unless the tokens that came are the first ones of one generation, each once. */
    void beginning(CallRequest request, CallRecord record) {
        assertEquals(0, record.disorders(), "tokens out of order");
        assertEquals(0, record.resets(), "resets");
        long seed = seedOf(request, record.generation());
        for (int i = 0; i < record.tokens().length(); i++) {
            int index = i;
            assertEquals(
                    TokenSource.token(seed, i),
                    record.tokens().get(i),
                    () -> "token " + index + " of " + request.key());
        }
    }

    /** Returns the seed that all attempts at {@code request} ran under. */
    private long seedOf(CallRequest request, int generation) {
        ImmutableList<RunGeneration> runs = bed.runsOf(request);
        assertFalse(runs.isEmpty(), "no engine recorded the request");
        ImmutableSet<Integer> generations =
                runs.stream().map(RunGeneration::generation).collect(ImmutableSet.toImmutableSet());
        assertEquals(ImmutableSet.of(generation), generations, "generations that ran");
        ImmutableSet<Long> seeds =
                runs.stream().map(RunGeneration::seed).collect(ImmutableSet.toImmutableSet());
        assertEquals(1, seeds.size(), () -> "seeds in " + runs);
        return seeds.iterator().next();
    }

    private static String summary(CallRecord record) {
        return "status "
                + record.status()
                + " code "
                + record.code()
                + " verdict "
                + record.verdict()
                + " after "
                + record.tokens().length()
                + " tokens";
    }
}
