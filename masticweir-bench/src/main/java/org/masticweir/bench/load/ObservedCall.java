package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.error.Submission;
import org.masticweir.error.Verdict;

/**
 * A call and what its caller saw.
 *
 * <p>Its latencies count from the intended arrival: a load that sends late would otherwise leave
 * out the waits of the very calls that it delayed (coordinated omission).
 *
 * @param intendedAtMs intended arrival or last return, on the caller's clock
 * @param returnedAtMs when the caller came back after a refusal
 */
public record ObservedCall(
        PlannedCall planned, long intendedAtMs, List<Long> returnedAtMs, CallRecord record) {
    private static final int STATUS_OK = 200;
    private static final String NOT_RUN = Verdict.NOT_RUN.name();
    private static final String NOT_SENT = Submission.NOT_SENT.name();
    private static final String UNFINISHED = "UNFINISHED";

    public ObservedCall {
        checkNotNull(planned, "planned");
        returnedAtMs = ImmutableList.copyOf(returnedAtMs);
        checkNotNull(record, "record");
    }

    /** Returns a call whose caller never came back. */
    static ObservedCall of(PlannedCall planned, long intendedAtMs, CallRecord record) {
        return new ObservedCall(planned, intendedAtMs, ImmutableList.of(), record);
    }

    /** Returns a call that had no end when the load stopped waiting for it at {@code nowMs}. */
    static ObservedCall unfinished(
            PlannedCall planned, long intendedAtMs, List<Long> returnedAtMs, long nowMs) {
        CallRecord record =
                new CallRecord(
                        STATUS_OK,
                        0,
                        ImmutableIntArray.of(),
                        ImmutableLongArray.of(),
                        0,
                        0,
                        CallRecord.Outcome.BROKEN,
                        UNFINISHED,
                        "",
                        "",
                        0,
                        intendedAtMs,
                        nowMs);
        return new ObservedCall(planned, intendedAtMs, returnedAtMs, record);
    }

    /** Returns the id under which routers and engines know the request. */
    public String requestId() {
        return planned.requestId();
    }

    /** Returns the tokens of the caller's prompt. */
    public int promptTokens() {
        return planned.request().prompt().length();
    }

    /** Tells whether the whole answer came. */
    public boolean completed() {
        return record.outcome() == CallRecord.Outcome.COMPLETED;
    }

    /**
     * Tells whether the call was not sent on: an error in place of a stream, or one that says so.
     */
    boolean refused() {
        return refused(record);
    }

    private static boolean refused(CallRecord record) {
        return record.outcome() == CallRecord.Outcome.ERROR
                && (record.status() != STATUS_OK
                        || record.verdict().equals(NOT_RUN)
                        || record.submission().equals(NOT_SENT));
    }

    /** Tells whether the caller was refused and told when to come back. */
    static boolean mayReturn(CallRecord record) {
        return refused(record) && record.retryAfterMs() > 0;
    }

    /** Returns the error code of a refused call. */
    String refusal() {
        return record.code();
    }

    /** Returns the verdict of a failed call, or what stands for it when the caller heard none. */
    String failure() {
        if (!record.verdict().isEmpty()) {
            return record.verdict();
        }
        return record.code().isEmpty() ? record.outcome().name() : record.code();
    }

    boolean hasTokens() {
        return !record.tokens().isEmpty();
    }

    /** Returns the wait for the first token, which must have come. */
    long firstTokenMs() {
        return record.tokenAtMs().get(0) - intendedAtMs;
    }

    long totalMs() {
        return record.endedAtMs() - intendedAtMs;
    }

    boolean withinTarget() {
        return completed()
                && hasTokens()
                && planned.profile().target().met(firstTokenMs(), totalMs());
    }
}
