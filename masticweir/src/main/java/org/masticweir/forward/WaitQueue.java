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
    static final int LEAST_LENGTH = 4;

    private static final Comparator<Place> ORDER =
            Comparator.comparingInt(Place::urgency).thenComparingLong(Place::number);

    private final Map<ServiceName, NavigableSet<Place>> lines = new HashMap<>();
    private long next;

    private WaitQueue() {}

    public static WaitQueue create() {
        return new WaitQueue();
    }

    /**
     * One request's place; immutable.
     *
     * @param urgency 0 for the first to be served
     * @param untilMs when the request gives up; a place that was not left by then counts for nobody
     */
    record Place(ServiceName service, int urgency, long number, long untilMs) {
        Place {
            checkNotNull(service, "service");
        }
    }

    /** Returns a new place behind all that are as urgent. */
    Place enter(ServiceName service, int urgency, long untilMs) {
        Place place = new Place(service, urgency, next++, untilMs);
        lines.computeIfAbsent(service, s -> new TreeSet<>(ORDER)).add(place);
        return place;
    }

    void leave(Place place) {
        NavigableSet<Place> line = lines.get(place.service());
        if (line != null) {
            line.remove(place);
        }
    }

    /** Returns whether nobody of {@code service} waits who is to be served before {@code place}. */
    boolean isFirst(Place place, long nowMs) {
        drop(place.service(), nowMs);
        NavigableSet<Place> line = lines.get(place.service());
        return line.isEmpty() || line.first().equals(place);
    }

    /** Returns how many requests of {@code service} wait that are as urgent, or more. */
    int ahead(ServiceName service, int urgency, long nowMs) {
        drop(service, nowMs);
        NavigableSet<Place> line = lines.get(service);
        return line == null
                ? 0
                : line.headSet(new Place(service, urgency, Long.MAX_VALUE, 0)).size();
    }

    /**
     * Returns how many may wait: as many as are expected to leave the engines in time.
     *
     * @param running requests of this router that run
     * @param patienceMs how long one waits at most
     * @param lifeMs how long one runs
     */
    static int longest(int running, long patienceMs, long lifeMs) {
        long leaving = running * patienceMs / Math.max(1, lifeMs);
        return (int) Math.max(LEAST_LENGTH, leaving);
    }

    /**
     * Failure guarded against: a place that its request did not leave would keep all others waiting
     * for as long as the process runs.
     */
    private void drop(ServiceName service, long nowMs) {
        NavigableSet<Place> line = lines.get(service);
        if (line != null) {
            line.removeIf(p -> p.untilMs() < nowMs);
        }
    }
}
