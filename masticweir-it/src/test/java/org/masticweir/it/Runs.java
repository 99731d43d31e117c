package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.standins.engine.TokenSource;

/** Counts at the back ends how often a request was run. */
final class Runs {
    private final TestBed bed;

    Runs(TestBed bed) {
        this.bed = checkNotNull(bed, "bed");
    }

    /** Returns the runs that began at the first token, on the engines that live. */
    ImmutableList<RunGeneration> begun(CallRequest request) {
        return bed.runsOf(request).stream()
                .filter(r -> r.first() == 0)
                .collect(ImmutableList.toImmutableList());
    }

    /** Fails unless the engines began {@code request} once. */
    void assertBegunOnce(CallRequest request) {
        assertEquals(
                1, begun(request).size(), () -> "runs from the first token: " + begun(request));
    }

    /**
     * Fails unless {@code record} is the whole answer of one of the generations that ran.
     *
     * <p>For requests that may be generated again after their router forgot them.
     */
    void assertWhole(CallRequest request, CallRecord record) {
        assertEquals(CallRecord.Outcome.COMPLETED, record.outcome(), () -> "outcome of " + record);
        assertEquals(0, record.disorders(), "tokens out of order");
        assertEquals(request.maxTokens(), record.tokens().length(), "tokens");
        long seed =
                begun(request).stream()
                        .filter(r -> r.generation() == record.generation())
                        .mapToLong(RunGeneration::seed)
                        .findFirst()
                        .orElseThrow();
        for (int i = 0; i < record.tokens().length(); i++) {
            assertEquals(TokenSource.token(seed, i), record.tokens().get(i), "token " + i);
        }
    }

    /** Returns how often {@code request} ran, on engines from the first token and on services. */
    int count(CallRequest request) {
        return begun(request).size() + calls(request);
    }

    private int calls(CallRequest request) {
        String id = RequestId.forKey(TeamId.of(request.team()), request.key()).value();
        int count = 0;
        for (BackEndProcess service : bed.services()) {
            for (JsonNode call : bed.control().records(service.address()).path("calls")) {
                count += call.path("request").asText().equals(id) ? 1 : 0;
            }
        }
        return count;
    }
}
