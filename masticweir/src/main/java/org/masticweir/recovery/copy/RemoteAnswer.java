package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.recovery.copy.CopyMessage.ReadTokens;
import org.masticweir.recovery.copy.CopyMessage.SubscribedTokens;

/**
 * Reads another router's answer into a log here, until its end or the owner's loss.
 *
 * <p>All that the owner released is released here. Thread-safe; news comes on the links' thread.
 */
public final class RemoteAnswer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(RemoteAnswer.class);

    private final PeerLinks links;
    private final RouterId owner;
    private final RequestId request;
    private final AnswerLog log;
    private final long timeoutMs;
    private final Runnable onLost;
    private int generation;
    private int next;
    private boolean closed;

    RemoteAnswer(
            PeerLinks links,
            RouterId owner,
            RequestId request,
            AnswerLog log,
            long timeoutMs,
            Runnable onLost) {
        this.links = checkNotNull(links, "links");
        this.owner = checkNotNull(owner, "owner");
        this.request = checkNotNull(request, "request");
        this.log = checkNotNull(log, "log");
        this.timeoutMs = timeoutMs;
        this.onLost = checkNotNull(onLost, "onLost");
        generation = log.read(0, 0).generation();
        next = log.size();
    }

    synchronized void ask() {
        if (closed) {
            return;
        }
        links.ask(owner, new ReadTokens(request, generation, next), timeoutMs)
                .whenComplete((reply, error) -> onReply(reply, error == null));
    }

    /** Stops reading; the log stays as it is. */
    @Override
    public synchronized void close() {
        closed = true;
    }

    private synchronized void onReply(PeerMessage reply, boolean answered) {
        if (closed || log.ended()) {
            return;
        }
        if (!answered || !(reply instanceof SubscribedTokens part) || !take(part)) {
            lost();
        } else if (part.end().isPresent()) {
            closed = true;
            log.finish(part.end().get());
        } else {
            ask();
        }
    }

    /** Adds what is new; returns whether the answer goes on from what is here. */
    private boolean take(SubscribedTokens part) {
        if (part.end().filter(RemoteAnswer::isSuperseded).isPresent()) {
            // The owner was replaced while this router read from it: the new owner has the answer.
            return false;
        }
        if (part.generation() > generation) {
            generation = part.generation();
            next = 0;
            log.startGeneration(generation);
        }
        if (part.generation() != generation || part.from() != next) {
            return false;
        }
        log.append(next, part.tokens());
        next += part.tokens().length();
        log.releaseTo(next);
        return true;
    }

    private void lost() {
        closed = true;
        LOG.info("copy: request {} lost its owner {} at token {}", request, owner, next);
        onLost.run();
    }

    private static boolean isSuperseded(AnswerEnd end) {
        return end instanceof AnswerEnd.Failed failed
                && failed.error().code() == ErrorCode.SUPERSEDED;
    }
}
