package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.masticweir.time.Clock;

/** Applies one change and waits until every router holds it. */
final class ConfigDelay {
    private static final long LONGEST_WAIT_MS = 15_000;
    private static final long LOOK_EVERY_MS = 10;

    private final JsonCalls calls;
    private final Clock clock;
    private final ImmutableList<RouterProcess> routers;

    ConfigDelay(JsonCalls calls, Clock clock, ImmutableList<RouterProcess> routers) {
        this.calls = checkNotNull(calls, "calls");
        this.clock = checkNotNull(clock, "clock");
        this.routers = checkNotNull(routers, "routers");
    }

    /** Returns the time until the last router holds the change; empty when one never does. */
    OptionalDouble measureMs() {
        RouterProcess first = routers.get(0);
        JsonNode config = calls.get(first.operators(), "/v1/config");
        long base = config.path("revision").asLong();
        ObjectNode change = JsonNodeFactory.instance.objectNode();
        change.put("base_revision", base);
        change.put("change_id", "slopes-" + base);
        change.put("author", "slopes");
        change.put("document", config.path("document").asText() + "\n# one more change\n");
        change.put("dry_run", false);
        long startMs = clock.nowMs();
        CompletableFuture<JsonNode> answer =
                CompletableFuture.supplyAsync(
                        () -> calls.post(first.operators(), "/v1/config", change));
        OptionalDouble delay = await(base, startMs);
        answer.join();
        return delay;
    }

    private OptionalDouble await(long base, long startMs) {
        int holding = 0;
        while (clock.nowMs() - startMs < LONGEST_WAIT_MS) {
            while (holding < routers.size() && revision(routers.get(holding)) > base) {
                holding++;
            }
            if (holding == routers.size()) {
                return OptionalDouble.of(clock.nowMs() - startMs);
            }
            pause(LOOK_EVERY_MS);
        }
        return OptionalDouble.empty();
    }

    private long revision(RouterProcess router) {
        return calls.get(router.operators(), "/v1/status").path("config_revision").asLong();
    }

    static void pause(long ms) {
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(ms, MILLISECONDS))
                .join();
    }
}
