package org.masticweir.bench.load;

import com.google.common.primitives.ImmutableIntArray;
import com.google.common.primitives.ImmutableLongArray;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Calls as tests need them. */
public final class Calls {
    private static final ClassProfile LOOKUPS = Mix.SPAARSTRAAL.classes().get(2);

    private Calls() {}

    /** Returns a completed lookup of the key {@code key} with tokens at the given times. */
    public static ObservedCall completed(
            String key, long intendedAtMs, long startedAtMs, ImmutableIntArray tokens, long... at) {
        CallRequest request =
                CallRequest.of(
                        "advisers", "lookups", "planning", key, ImmutableIntArray.of(1, 2, 3), 4);
        CallRecord record =
                new CallRecord(
                        200,
                        1,
                        tokens,
                        ImmutableLongArray.copyOf(at),
                        0,
                        0,
                        CallRecord.Outcome.COMPLETED,
                        "",
                        "COMPLETED",
                        "",
                        0,
                        startedAtMs,
                        at[at.length - 1]);
        return ObservedCall.of(
                new PlannedCall(intendedAtMs, LOOKUPS, request), intendedAtMs, record);
    }

    /** Returns a call like {@code other} whose stream ended with an error and no token. */
    static ObservedCall ended(ObservedCall other, String code, String verdict, String submission) {
        CallRecord record =
                new CallRecord(
                        200,
                        0,
                        ImmutableIntArray.of(),
                        ImmutableLongArray.of(),
                        0,
                        0,
                        CallRecord.Outcome.ERROR,
                        code,
                        verdict,
                        submission,
                        500,
                        other.intendedAtMs(),
                        other.intendedAtMs());
        return ObservedCall.of(other.planned(), other.intendedAtMs(), record);
    }
}
