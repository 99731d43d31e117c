package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.masticweir.catalog.ServiceName;

/**
 * The requests of this router that wait for a place at an engine, by urgency and then by arrival;
 * owned by the traffic thread.
 *
 * <p>Load that it answers: more long prompts come than engines have room for. Without a line a
 * place goes to whoever looks next, so that those that have waited longest are given up while later
 * ones are served. And a line that is longer than what can leave the engines in time only delays
 * the word that its last ones will not be served, so it is bounded.
 */
public final class WaitQueue {
    /** Requests that may wait in any case: a router that runs nothing learns of room by trying. */
    static final int MIN_CAPACITY = 4;

    private static final Comparator<Entry> ORDER =
            Comparator.comparingInt(Entry::urgency).thenComparingLong(Entry::sequenceNumber);

    private final Map<ServiceName, NavigableSet<Entry>> queues = new HashMap<>();
    private long nextSequenceNumber;

    private WaitQueue() {}

    public static WaitQueue create() {
        return new WaitQueue();
    }

    /**
     * One request's place; immutable.
     *
     * @param urgency 0 for the first to be served
     * @param expiresMs when the request gives up; a place that was not left by then counts for
     *     nobody
     */
    record Entry(ServiceName service, int urgency, long sequenceNumber, long expiresMs) {
        Entry {
            checkNotNull(service, "service");
        }
    }

    /** Returns a new place behind all that are as urgent. */
    Entry add(ServiceName service, int urgency, long expiresMs) {
        Entry entry = new Entry(service, urgency, nextSequenceNumber++, expiresMs);
        queues.computeIfAbsent(service, s -> new TreeSet<>(ORDER)).add(entry);
        return entry;
    }

    void remove(Entry entry) {
        NavigableSet<Entry> queue = queues.get(entry.service());
        if (queue != null) {
            queue.remove(entry);
        }
    }

    /** Returns whether nobody of {@code service} waits who is to be served before {@code place}. */
    boolean isFirst(Entry entry, long nowMs) {
        removeExpired(entry.service(), nowMs);
        NavigableSet<Entry> queue = queues.get(entry.service());
        return queue.isEmpty() || queue.first().equals(entry);
    }

    /** Returns how many requests of {@code service} wait that are as urgent, or more. */
    int countAhead(ServiceName service, int urgency, long nowMs) {
        removeExpired(service, nowMs);
        NavigableSet<Entry> queue = queues.get(service);
        return queue == null
                ? 0
                : queue.headSet(new Entry(service, urgency, Long.MAX_VALUE, 0)).size();
    }

    /**
     * Returns how many may wait: as many as are expected to leave the engines in time.
     *
     * @param running requests of this router that run
     * @param maxWaitMs how long one waits at most
     * @param runMs how long one runs
     */
    static int capacity(int running, long maxWaitMs, long runMs) {
        long expectedDepartures = running * maxWaitMs / Math.max(1, runMs);
        return (int) Math.max(MIN_CAPACITY, expectedDepartures);
    }

    /**
     * Failure guarded against: a place that its request did not leave would keep all others waiting
     * for as long as the process runs.
     */
    private void removeExpired(ServiceName service, long nowMs) {
        NavigableSet<Entry> queue = queues.get(service);
        if (queue != null) {
            queue.removeIf(p -> p.expiresMs() < nowMs);
        }
    }
}
