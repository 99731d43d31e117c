package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.metrics.MetricName;
import org.masticweir.time.Clock;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * Passes callers' new connections to the server library, or closes them unread; measures the delay
 * of the traffic thread; owned by the traffic thread.
 */
final class ConnectionGate {
    private static final Logger LOG = LogManager.getLogger(ConnectionGate.class);

    private static final AttachmentKey<Boolean> IS_COUNTED = AttachmentKey.create(Boolean.class);

    private final XnioExecutor thread;
    private final Clock clock;
    private final Counter upLinks;
    private final ConnectionAdmission admission;
    private final ConnectionRebalancing rebalancing;
    private final Counter closedCounter;
    private final Counter limitedCounter;

    /** Creates a gate that measures nothing before {@link #start}. */
    ConnectionGate(XnioExecutor thread, Clock clock, MetricRegistry metrics) {
        this.thread = checkNotNull(thread, "thread");
        this.clock = checkNotNull(clock, "clock");
        upLinks = RelayLinks.upLinkCounter(metrics);
        admission = new ConnectionAdmission(clock.nowMs());
        rebalancing = new ConnectionRebalancing(clock.nowMs());
        closedCounter = metrics.counter(MetricName.of("connections_closed_unread_total"));
        limitedCounter = metrics.counter(MetricName.of("connections_limited"));
    }

    /** Starts to measure the delay of the traffic thread. */
    void start() {
        measureAt(clock.nowMs() + ConnectionAdmission.MEASUREMENT_INTERVAL_MS);
    }

    /** Returns a listener that passes admitted connections to {@code target}. */
    ChannelListener<StreamConnection> before(ChannelListener<StreamConnection> target) {
        return connection -> {
            if (admission.admits(isOtherRouterLinked(), clock.nowMs())) {
                target.handleEvent(connection);
            } else {
                closedCounter.inc();
                IoUtils.safeClose(connection);
            }
        };
    }

    /** Returns a handler that counts the requests of {@code target} and may close connections. */
    HttpHandler around(HttpHandler target) {
        return exchange -> {
            countConnection(exchange.getConnection());
            exchange.addExchangeCompleteListener(
                    (ex, next) -> {
                        admission.recordServed();
                        next.proceed();
                    });
            exchange.addResponseCommitListener(this::closeAfterAnswerIfNeeded);
            target.handleRequest(exchange);
        };
    }

    private void countConnection(ServerConnection connection) {
        if (connection.getAttachment(IS_COUNTED) == null) {
            connection.putAttachment(IS_COUNTED, true);
            rebalancing.connectionUsed();
            connection.addCloseListener(c -> rebalancing.connectionClosed());
        }
    }

    private void closeAfterAnswerIfNeeded(HttpServerExchange exchange) {
        boolean isOtherRouterLinked = isOtherRouterLinked();
        if (admission.closesAfterAnswer(isOtherRouterLinked)
                || rebalancing.closesAfterAnswer(isOtherRouterLinked)) {
            exchange.setPersistent(false);
        }
    }

    private boolean isOtherRouterLinked() {
        return upLinks.getCount() > 0;
    }

    private void measureAt(long dueMs) {
        try {
            thread.executeAfter(
                    () -> measure(dueMs),
                    Math.max(0, dueMs - clock.nowMs()),
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("connections: no more measurements, the traffic thread ends");
        }
    }

    private void measure(long dueMs) {
        long now = clock.nowMs();
        long nextMs = now + ConnectionAdmission.MEASUREMENT_INTERVAL_MS;
        admission.recordMeasurement(Math.max(0, now - dueMs), nextMs, now);
        countLimit();
        rebalancing.update(now);
        measureAt(nextMs);
    }

    private void countLimit() {
        limitedCounter.inc((admission.isLimited() ? 1 : 0) - limitedCounter.getCount());
    }
}
