package org.masticweir.bench.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableIntArray;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.stream.IntStream;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.HttpCall;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/** Makes the same requests to a router, and to an engine without one. */
final class PathCalls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PROMPT_TOKENS = 8;
    private static final int VOCABULARY = 50_000;
    private static final String TEAM = "advisers";

    private final String run = UUID.randomUUID().toString();
    private final String workClass;
    private final int tokens;

    PathCalls(String workClass, int tokens) {
        this.workClass = workClass;
        this.tokens = tokens;
    }

    HttpCall toRouter(InetSocketAddress router, int number) {
        CallRequest request =
                CallRequest.of(TEAM, workClass, "report", key(number), prompt(number), tokens);
        return new HttpCall(
                "POST",
                router,
                "/v1/requests",
                ImmutableMap.of(
                        "Authorization",
                        "Bearer " + request.credential(),
                        "Masticweir-Team",
                        TEAM,
                        "Content-Type",
                        "application/json"),
                request.body().getBytes(StandardCharsets.UTF_8));
    }

    HttpCall toEngine(InetSocketAddress engine, int number) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("request", RequestId.forKey(TeamId.of(TEAM), key(number)).value());
        json.put("generation", 1);
        json.put("attempt", 1);
        json.put("model", "report");
        json.put("version", "3");
        json.put("adapter", "household");
        json.put("seed", number);
        json.set("prompt", MAPPER.valueToTree(prompt(number).toArray()));
        json.put("max_tokens", tokens);
        json.put("priority", 1);
        return HttpCall.postJson(engine, "/v1/generations", json.toString());
    }

    private String key(int number) {
        return run + "-" + tokens + "-" + number;
    }

    private static ImmutableIntArray prompt(int number) {
        return ImmutableIntArray.copyOf(
                IntStream.range(0, PROMPT_TOKENS).map(i -> (number * 31 + i) % VOCABULARY));
    }
}
