package org.masticweir.bench.standin;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/** Sends faults to stand-ins and reads their records; thread-safe, blocks. */
public final class StandInControl {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 3_000;
    private static final int RECORD_TRIES = 3;
    private static final int READY_TRIES = 100;
    private static final long READY_EVERY_MS = 100;

    private final HttpCaller calls;

    private StandInControl(HttpCaller calls) {
        this.calls = checkNotNull(calls, "calls");
    }

    public static StandInControl over(HttpCaller calls) {
        return new StandInControl(calls);
    }

    /** Sends one control object, such as {@code {"pause_ms":500}}. */
    public boolean control(InetSocketAddress standIn, String json) {
        HttpOutcome outcome =
                calls.call(HttpCall.postJson(standIn, "/control", json), TIMEOUT_MS).join();
        return outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess();
    }

    /** Waits until the router at {@code router} takes work; false when it does not in time. */
    public boolean awaitReady(InetSocketAddress router) {
        return awaitSuccess(HttpCall.get(router, "/v1/ready"));
    }

    /** Waits until the engine at {@code engine} is alive; false when it is not in time. */
    public boolean awaitHealthy(InetSocketAddress engine) {
        return awaitSuccess(HttpCall.get(engine, "/v1/health"));
    }

    private boolean awaitSuccess(HttpCall call) {
        for (int i = 0; i < READY_TRIES; i++) {
            HttpOutcome outcome = calls.call(call, TIMEOUT_MS).join();
            if (outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess()) {
                return true;
            }
            Executor later = CompletableFuture.delayedExecutor(READY_EVERY_MS, MILLISECONDS);
            CompletableFuture.runAsync(() -> {}, later).join();
        }
        return false;
    }

    /** Returns what {@code standIn} recorded; missing when it does not answer. */
    public JsonNode records(InetSocketAddress standIn) {
        HttpOutcome outcome =
                calls.call(HttpCall.get(standIn, "/control/records"), TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return MAPPER.missingNode();
        }
        try {
            return MAPPER.readTree(answered.answer().text());
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the typed records of an engine; empty when it does not answer.
     *
     * <p>A pooled connection may belong to a process that has died since; the call on it then fails
     * and the next try opens another one. Reading twice does no harm.
     */
    Optional<EngineReading> reading(InetSocketAddress engine) {
        Optional<EngineReading> reading = Optional.empty();
        for (int i = 0; i < RECORD_TRIES && reading.isEmpty(); i++) {
            reading = EngineReading.of(records(engine));
        }
        return reading;
    }

    /** Returns the attempts at {@code request} that an engine recorded. */
    public ImmutableList<RunGeneration> runsOf(InetSocketAddress engine, CallRequest request) {
        String id = RequestId.forKey(TeamId.of(request.team()), request.key()).value();
        ImmutableList.Builder<RunGeneration> runs = ImmutableList.builder();
        for (JsonNode node : records(engine).path("generations")) {
            if (node.path("request").asText().equals(id)) {
                runs.add(
                        new RunGeneration(
                                node.path("generation").asInt(),
                                node.path("attempt").asInt(),
                                node.path("seed").asLong(),
                                node.path("first").asInt(),
                                node.path("produced").asInt()));
            }
        }
        return runs.build();
    }

    /**
     * One attempt as an engine recorded it.
     *
     * @param first index of its first token
     * @param produced tokens it computed
     */
    public record RunGeneration(int generation, int attempt, long seed, int first, int produced) {}
}
