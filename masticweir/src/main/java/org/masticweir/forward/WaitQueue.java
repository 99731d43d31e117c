package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.masticweir.catalog.ServiceName;

/**
 * Requests of this router that wait for a slot of an engine, by urgency and then by arrival; owned
 * by the traffic thread.
 *
 * <p>More long prompts may arrive than engines can accept. Without a queue, a free slot goes to the
 * request that happens to check next, so the requests that have waited longest expire while later
 * ones are served. A queue longer than the number of requests that can leave the engines in time
 * only delays the refusal of its last requests, so it is bounded.
 */
public final class WaitQueue {
    /** Minimum capacity: a router without running requests finds free slots only by trying. */
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
     * Queue entry of one request; immutable.
     *
     * @param urgency 0 for the most urgent
     * @param expiresMs when the request stops waiting; an entry not removed by then is ignored
     */
    record Entry(ServiceName service, int urgency, long sequenceNumber, long expiresMs) {
        Entry {
            checkNotNull(service, "service");
        }
    }

    /** Returns a new entry behind all entries of the same urgency. */
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

    /** Returns whether no request of {@code service} waits ahead of {@code entry}. */
    boolean isFirst(Entry entry, long nowMs) {
        removeExpired(entry.service(), nowMs);
        NavigableSet<Entry> queue = queues.get(entry.service());
        return queue.isEmpty() || queue.first().equals(entry);
    }

    /** Returns how many requests of {@code service} wait with the same or a higher urgency. */
    int countAhead(ServiceName service, int urgency, long nowMs) {
        removeExpired(service, nowMs);
        NavigableSet<Entry> queue = queues.get(service);
        return queue == null
                ? 0
                : queue.headSet(new Entry(service, urgency, Long.MAX_VALUE, 0)).size();
    }

    /**
     * Returns how many requests may wait: as many as are expected to leave the engines in time.
     *
     * @param runningRequests running requests of this router
     * @param maxWaitMs longest wait of a request
     * @param runMs duration of a run
     */
    static int capacity(int runningRequests, long maxWaitMs, long runMs) {
        long expectedDepartures = runningRequests * maxWaitMs / Math.max(1, runMs);
        return (int) Math.max(MIN_CAPACITY, expectedDepartures);
    }

    /**
     * Removes expired entries. Without this, an entry that its request did not remove would block
     * all others for as long as the process runs.
     */
    private void removeExpired(ServiceName service, long nowMs) {
        NavigableSet<Entry> queue = queues.get(service);
        if (queue != null) {
            queue.removeIf(p -> p.expiresMs() < nowMs);
        }
    }
}
