package org.masticweir.peer;

import java.util.concurrent.CompletableFuture;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RouterId;

/** Sends messages to peers; implementations are thread-safe and never block. */
public interface PeerSender {
    /**
     * Queues {@code message} one-way, as a best effort.
     *
     * <p>Returns false when it was not queued: the peer is not known, its link was lost and is in
     * backoff, or its queue is full. True does not say that it arrives.
     */
    boolean send(RouterId to, PeerMessage message);

    /**
     * Sends {@code message} and returns the future reply.
     *
     * <p>The future fails with a {@link MasticweirException}: at once when the message can't be
     * queued (NOT_RUN), as soon as the link is lost, or after {@code timeoutMs} (MAY_HAVE_RUN).
     */
    CompletableFuture<PeerMessage> ask(RouterId to, PeerMessage message, long timeoutMs);
}
