package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableIntArray;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpOutcome;
import org.masticweir.time.Clock;

/**
 * A caller of a plain service that submits the same key to the next router when it gets no answer.
 *
 * <p>One thread uses it.
 */
final class ServiceFaultCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long PATIENCE_MS = 4_000;
    private static final long BETWEEN_TRIES_MS = 100;
    private static final Clock CLOCK = Clock.system();

    private final FaultFleet fleet;
    private final CallRequest request;
    private final boolean sole;
    private final long startedAtMs = CLOCK.nowMs();
    private final List<CallPart> parts = new ArrayList<>();
    private int router;

    /**
     * Creates the caller of {@code request}.
     *
     * @param sole whether nobody else submits the key, so that the first submission may say so
     */
    ServiceFaultCaller(FaultFleet fleet, CallRequest request, int router, boolean sole) {
        this.fleet = checkNotNull(fleet, "fleet");
        this.request = checkNotNull(request, "request");
        this.router = router;
        this.sole = sole;
    }

    /** Makes the call and returns all that came of it. */
    CallTrace run() {
        boolean ended = false;
        while (!ended && CLOCK.nowMs() - startedAtMs < FaultCaller.BOUND_MS) {
            CallPart part = submit();
            parts.add(part);
            ended = !part.broken() && !isRefusalOfTheRouter(part);
            if (!ended) {
                Await.elapse(BETWEEN_TRIES_MS);
                router = (router + 1) % fleet.routers().size();
            }
        }
        return new CallTrace(
                FaultPlan.Work.SERVICE,
                request,
                ImmutableList.copyOf(parts),
                ended,
                ImmutableList.of(),
                startedAtMs,
                CLOCK.nowMs());
    }

    private static boolean isRefusalOfTheRouter(CallPart part) {
        return part.code().equals("SHUTTING_DOWN") || part.code().equals("NO_CONFIGURATION");
    }

    private CallPart submit() {
        FleetRouter to = fleet.routers().get(router);
        String body = request.body().replace("\"stream\":true", "\"stream\":false");
        ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
        headers.put("Content-Type", "application/json");
        headers.put("Masticweir-Team", request.team());
        headers.put("Authorization", "Bearer " + request.credential());
        if (sole && parts.isEmpty()) {
            headers.put("Masticweir-Submission", "first");
        }
        HttpCall call =
                new HttpCall(
                        "POST",
                        to.callers(),
                        "/v1/requests",
                        headers.buildOrThrow(),
                        body.getBytes(StandardCharsets.UTF_8));
        long sentAtMs = CLOCK.nowMs();
        return part(to.id(), sentAtMs, fleet.calls().call(call, PATIENCE_MS).join());
    }

    private static CallPart part(String router, long sentAtMs, HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return part(router, sentAtMs, 0, CallRecord.Outcome.BROKEN, MAPPER.missingNode());
        }
        int status = answered.answer().status();
        CallRecord.Outcome end =
                status == 200 ? CallRecord.Outcome.COMPLETED : CallRecord.Outcome.ERROR;
        try {
            return part(router, sentAtMs, status, end, MAPPER.readTree(answered.answer().text()));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(answered.answer().text(), e);
        }
    }

    private static CallPart part(
            String router, long sentAtMs, int status, CallRecord.Outcome outcome, JsonNode json) {
        return new CallPart(
                router,
                true,
                0,
                status,
                0,
                ImmutableIntArray.of(),
                0,
                outcome,
                json.path("code").asText(),
                json.path("verdict").asText(),
                json.path("result").asText(),
                sentAtMs,
                CLOCK.nowMs());
    }
}
