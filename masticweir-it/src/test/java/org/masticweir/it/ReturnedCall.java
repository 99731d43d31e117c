package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import com.google.common.primitives.ImmutableLongArray;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** A call that was cut off and went on through another router. */
final class ReturnedCall {
    private final CallRequest request;
    private final CallRecord before;
    private final RunningCall after;

    private ReturnedCall(CallRequest request, CallRecord before, RunningCall after) {
        this.request = checkNotNull(request, "request");
        this.before = checkNotNull(before, "before");
        this.after = checkNotNull(after, "after");
    }

    /** Waits until {@code call} is cut off, and reads on at {@code router} from what it has. */
    static ReturnedCall of(RouterFleet fleet, RunningCall call, FleetRouter router) {
        CallRecord before = call.record();
        assertEquals(CallRecord.Outcome.BROKEN, before.outcome(), "the call was cut off");
        return from(fleet, call.request(), before, router);
    }

    /** Reads {@code request} on at {@code router} from what {@code before} has. */
    static ReturnedCall from(
            RouterFleet fleet, CallRequest request, CallRecord before, FleetRouter router) {
        String last = before.generation() + ":" + (before.tokens().length() - 1);
        assertTrue(!before.tokens().isEmpty(), "tokens before the return");
        return new ReturnedCall(request, before, fleet.readAgain(router, request, last));
    }

    RunningCall after() {
        return after;
    }

    /** Returns both parts as one record; the second must be of the first one's generation. */
    CallRecord joined() {
        CallRecord end = after.record();
        if (!end.tokens().isEmpty()) {
            assertEquals(before.generation(), end.generation(), "generation after the return");
        }
        return new CallRecord(
                end.status(),
                before.generation(),
                ImmutableIntArray.builder().addAll(before.tokens()).addAll(end.tokens()).build(),
                ImmutableLongArray.builder()
                        .addAll(before.tokenAtMs())
                        .addAll(end.tokenAtMs())
                        .build(),
                before.disorders() + end.disorders(),
                before.resets() + end.resets(),
                end.outcome(),
                end.code(),
                end.verdict(),
                end.submission(),
                end.retryAfterMs(),
                before.startedAtMs(),
                end.endedAtMs());
    }

    /** Fails unless both parts together are the whole answer of one generation. */
    void assertWhole(RouterFleet fleet) {
        fleet.bed().check().whole(request, joined());
    }

    /** Returns when the first token came after the return. */
    long firstTokenAtMs() {
        return after.record().tokenAtMs().get(0);
    }
}
