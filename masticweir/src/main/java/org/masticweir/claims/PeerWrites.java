package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.peer.Reply;
import org.masticweir.time.Clock;

/**
 * Queues writes of the domain's other routers together with this router's own writes, and responds
 * to the other routers.
 *
 * <p>A write that can't be made soon is refused at once, so that its claimant can refuse its caller
 * or write the row itself. Writes of a claimant that no longer waits are not tracked: a late write
 * fails its check. Not thread-safe: owned by the control thread.
 */
final class PeerWrites {
    private final ClaimBatcher batcher;
    private final Clock clock;
    private final Map<Long, Reply> repliesByNumber = new HashMap<>();
    private long lastNumber;

    PeerWrites(ClaimBatcher batcher, Clock clock) {
        this.batcher = checkNotNull(batcher, "batcher");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Queues the write and returns true, or responds with the reason for a refusal. */
    boolean accept(ClaimWriteRequest request, Reply reply) {
        long now = clock.nowMs();
        if (batcher.isPaused(now)) {
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.NO_TABLE, 0));
            return false;
        }
        long queueMs = batcher.urgentQueueMs();
        if (queueMs > SharedWriteLimits.MAX_QUEUE_MS) {
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.OVERLOADED, queueMs));
            return false;
        }
        // Numbers of peer writes are negative and therefore never equal numbers of own claims.
        long number = lastNumber - 1;
        BatchItem item;
        try {
            item = request.toItem(number, now);
        } catch (IllegalArgumentException e) {
            reply.fail(MasticweirException.notRun(ErrorCode.INTERNAL, "claim row not readable"));
            return false;
        }
        OptionalLong retryAfterMs = batcher.offer(item, now);
        if (retryAfterMs.isPresent()) {
            long afterMs = retryAfterMs.getAsLong();
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.OVERLOADED, afterMs));
            return false;
        }
        lastNumber = number;
        repliesByNumber.put(number, reply);
        return true;
    }

    /**
     * Forwards the outcome of a peer's write; returns false for one of this router's own writes.
     */
    boolean respond(BatchEvent event) {
        Reply reply = repliesByNumber.remove(event.claim());
        if (reply == null) {
            return false;
        }
        reply.send(ClaimWriteResponse.fromEvent(event.event()));
        return true;
    }
}
