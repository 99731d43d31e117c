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
 * <p>More long prompts may arrive than engines can accept. Without a queue, the next request that
 * checks for a server gets a free slot, so requests may expire while later requests are served. The
 * queue is bounded by the number of requests that the engines are expected to complete in time: a
 * longer queue would only delay the refusal of the last requests.
 */
public final class WaitQueue {
    /**
     * Minimum capacity: a router without running requests can't estimate how many slots become
     * free.
     */
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
     * @param expiresMs when the request stops waiting; an expired entry is ignored
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
     * Returns the maximum number of waiting requests: the number of running requests that are
     * expected to end in time.
     *
     * @param runningRequests running requests whose slots this router may get
     * @param maxWaitMs longest wait of a request
     * @param runMs duration of a run
     */
    static int capacity(int runningRequests, long maxWaitMs, long runMs) {
        long expectedDepartures = runningRequests * maxWaitMs / Math.max(1, runMs);
        return (int) Math.max(MIN_CAPACITY, expectedDepartures);
    }

    /**
     * Removes expired entries. Without this, an entry that its request failed to remove would block
     * all later entries until the process ends.
     */
    private void removeExpired(ServiceName service, long nowMs) {
        NavigableSet<Entry> queue = queues.get(service);
        if (queue != null) {
            queue.removeIf(p -> p.expiresMs() < nowMs);
        }
    }
}
