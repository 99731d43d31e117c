package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.PromptId;
import org.masticweir.path.ServerCaller;
import org.masticweir.time.Clock;

/**
 * Queries engines for the prompts in their caches; owned by the traffic thread.
 *
 * <p>A router that has just started receives a dozen streams at once, and queries two dozen engines
 * for each stream. All queries to an engine within a short time therefore share one answer.
 */
final class PromptCacheClient {
    private static final Logger LOG = LogManager.getLogger(PromptCacheClient.class);

    /**
     * Timeout of a query, in ms, long enough for a router whose code is not compiled yet. It is a
     * third of the prefill time of a long prompt. A caller that has reconnected has already waited
     * for longer.
     */
    static final long TIMEOUT_MS = 300;

    /**
     * Time for which an answer is reused for other queries, in ms; engines cache prompts for
     * seconds.
     */
    private static final long REUSE_MS = 300;

    private final ServerCaller serverCaller;
    private final PlatformProtocol protocol;
    private final AnswerMetadataRecorder metadataRecorder;
    private final Clock clock;
    private final Map<ServerIncarnation, Query> queries = new HashMap<>();

    /** One query to an engine. */
    private record Query(long sentMs, CompletableFuture<ImmutableSet<PromptId>> answer) {}

    PromptCacheClient(
            ServerCaller serverCaller,
            PlatformProtocol protocol,
            AnswerMetadataRecorder metadataRecorder,
            Clock clock) {
        this.serverCaller = checkNotNull(serverCaller, "serverCaller");
        this.protocol = checkNotNull(protocol, "protocol");
        this.metadataRecorder = checkNotNull(metadataRecorder, "metadataRecorder");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Returns the prompts in the cache of {@code engine}; an empty set if the engine does not
     * answer in time.
     */
    CompletableFuture<ImmutableSet<PromptId>> cachedPrompts(BackendServer engine) {
        long now = clock.nowMs();
        queries.values().removeIf(a -> now - a.sentMs() > REUSE_MS);
        return queries.computeIfAbsent(
                        engine.incarnation(), incarnation -> new Query(now, query(engine)))
                .answer();
    }

    private CompletableFuture<ImmutableSet<PromptId>> query(BackendServer engine) {
        return serverCaller
                .call(engine, protocol.promptsCall(engine), TIMEOUT_MS)
                .thenApply(
                        outcome -> {
                            metadataRecorder.recordCall(engine.incarnation(), outcome);
                            return parse(outcome);
                        });
    }

    private ImmutableSet<PromptId> parse(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return protocol.parsePrompts(answered.answer().text());
            } catch (IllegalArgumentException e) {
                LOG.warn("relay: malformed list of cached prompts, {}", e.getMessage());
            }
        }
        return ImmutableSet.of();
    }
}
