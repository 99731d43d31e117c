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
 * Queues the writes of the domain's other routers among this router's own, and answers them.
 *
 * <p>A write that can't be made soon is refused at once, so that its claimant can tell its caller
 * or write for itself. Nothing is kept for a claimant that no longer waits: a late write fails its
 * check. Not thread-safe: owned by the control thread.
 */
final class PeerWrites {
    private final ClaimBatcher batch;
    private final Clock clock;
    private final Map<Long, Reply> replies = new HashMap<>();
    private long lastNumber;

    PeerWrites(ClaimBatcher batch, Clock clock) {
        this.batch = checkNotNull(batch, "batch");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Queues the write and returns true, or answers why not. */
    boolean accept(ClaimWriteRequest request, Reply reply) {
        long now = clock.nowMs();
        if (batch.isPaused(now)) {
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.NO_TABLE, 0));
            return false;
        }
        long aheadMs = batch.urgentQueueMs();
        if (aheadMs > SharedWriteLimits.MAX_QUEUE_MS) {
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.OVERLOADED, aheadMs));
            return false;
        }
        // Numbers of guests are below zero, so that they never meet those of own claims.
        long number = lastNumber - 1;
        BatchItem item;
        try {
            item = request.toItem(number, now);
        } catch (IllegalArgumentException e) {
            reply.fail(MasticweirException.notRun(ErrorCode.INTERNAL, "claim not readable"));
            return false;
        }
        OptionalLong refused = batch.offer(item, now);
        if (refused.isPresent()) {
            long afterMs = refused.getAsLong();
            reply.send(ClaimWriteResponse.refused(ClaimWriteResponse.Kind.OVERLOADED, afterMs));
            return false;
        }
        lastNumber = number;
        replies.put(number, reply);
        return true;
    }

    /** Passes on the outcome of a guest's write; returns false if it is not a guest's. */
    boolean respond(BatchEvent event) {
        Reply reply = replies.remove(event.claim());
        if (reply == null) {
            return false;
        }
        reply.send(ClaimWriteResponse.fromEvent(event.event()));
        return true;
    }
}
