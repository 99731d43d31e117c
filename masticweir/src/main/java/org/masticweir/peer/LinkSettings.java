package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * The settings of a router's links; immutable.
 *
 * @param listen address that peers connect to; port 0 takes any free one
 * @param connectTimeoutMs time for connecting, a TLS handshake and the greeting, together
 * @param maxQueuedBytes bound of the outgoing queue of one link
 * @param backoffMinMs shortest wait before a lost link is dialled again
 * @param backoffMaxMs longest such wait
 * @param silenceMs a link that brings nothing for so long while a reply is due is closed
 * @param seed of the jitter in those waits
 */
public record LinkSettings(
        InetSocketAddress listen,
        int connectTimeoutMs,
        int maxQueuedBytes,
        int backoffMinMs,
        int backoffMaxMs,
        int silenceMs,
        long seed) {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int BACKOFF_MIN_MS = 50;
    private static final int BACKOFF_MAX_MS = 5000;
    private static final int SILENCE_MS = 2000;

    public LinkSettings {
        checkNotNull(listen, "listen");
        checkArgument(connectTimeoutMs > 0, "connect_timeout_ms %s", connectTimeoutMs);
        checkArgument(maxQueuedBytes > 0, "max_queued_bytes %s", maxQueuedBytes);
        checkArgument(backoffMinMs > 0, "backoff_min_ms %s", backoffMinMs);
        checkArgument(backoffMaxMs >= backoffMinMs, "backoff_max_ms %s", backoffMaxMs);
        checkArgument(silenceMs >= SilenceWatch.CHECKS, "silence_ms %s", silenceMs);
    }

    /** Returns the default settings for {@code listen}, with jitter from {@code seed}. */
    public static LinkSettings of(InetSocketAddress listen, long seed) {
        return new LinkSettings(
                listen,
                CONNECT_TIMEOUT_MS,
                MAX_QUEUED_BYTES,
                BACKOFF_MIN_MS,
                BACKOFF_MAX_MS,
                SILENCE_MS,
                seed);
    }

    public LinkSettings withMaxQueuedBytes(int bytes) {
        return new LinkSettings(
                listen, connectTimeoutMs, bytes, backoffMinMs, backoffMaxMs, silenceMs, seed);
    }

    /** Returns these settings with {@code ms} more for the handshakes of TLS. */
    public LinkSettings withHandshakeMs(int ms) {
        checkArgument(ms >= 0, "handshake_ms %s", ms);
        return new LinkSettings(
                listen,
                connectTimeoutMs + ms,
                maxQueuedBytes,
                backoffMinMs,
                backoffMaxMs,
                silenceMs,
                seed);
    }

    public LinkSettings withSilenceMs(int ms) {
        return new LinkSettings(
                listen, connectTimeoutMs, maxQueuedBytes, backoffMinMs, backoffMaxMs, ms, seed);
    }

    /** Returns the time between two looks at whether a link is silent. */
    int silenceCheckMs() {
        return silenceMs / SilenceWatch.CHECKS;
    }
}
