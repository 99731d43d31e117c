package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;

/** The handlers by message class; thread-safe. */
final class Handlers {
    private static final Logger LOG = LogManager.getLogger(Handlers.class);

    private final ConcurrentHashMap<Class<?>, Handler<?>> byClass = new ConcurrentHashMap<>();

    <T extends PeerMessage> void put(Class<T> type, Handler<T> handler) {
        checkNotNull(type, "type");
        Handler<?> before = byClass.putIfAbsent(type, checkNotNull(handler, "handler"));
        checkState(before == null, "%s has a handler", type);
    }

    /**
     * Hands {@code message} to its handler.
     *
     * <p>A handler's fault shows as an exception; it is answered at once, so that the asker does
     * not wait for its time-out, and it does not close the link.
     */
    void handle(RouterId from, PeerMessage message, Reply reply) {
        try {
            deliver(from, message, reply);
        } catch (MasticweirException e) {
            reply.fail(e);
        } catch (RuntimeException e) {
            LOG.error("peer: handler of {} failed", message.getClass().getSimpleName(), e);
            reply.fail(internal(e.toString()));
        }
    }

    @SuppressWarnings("unchecked") // put() files each handler under its own message class.
    private <T extends PeerMessage> void deliver(RouterId from, T message, Reply reply) {
        Handler<T> h = (Handler<T>) byClass.get(message.getClass());
        if (h == null) {
            reply.fail(internal("no handler for " + message.getClass().getSimpleName()));
        } else {
            h.handle(from, message, reply);
        }
    }

    private static MasticweirException internal(String why) {
        return MasticweirException.of(ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, why);
    }
}
