package org.masticweir.limits;

import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingLong;

import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/** The queued requests of one team in one class, in a fixed order; not thread-safe. */
final class TeamQueue {
    private final NavigableSet<AdmissionRequest> requests;

    /** Tokens served per unit of weight, in the virtual time of the class. */
    private double servedPerWeight;

    /**
     * Creates an empty queue.
     *
     * @param byDeadline whether to order by deadline; otherwise by arrival
     */
    TeamQueue(double servedPerWeight, boolean byDeadline) {
        ToLongFunction<AdmissionRequest> order =
                byDeadline ? AdmissionRequest::firstTokenDueMs : AdmissionRequest::receivedAtMs;
        requests =
                new TreeSet<>(comparingLong(order).thenComparing(comparing(r -> r.id().value())));
        this.servedPerWeight = servedPerWeight;
    }

    double servedPerWeight() {
        return servedPerWeight;
    }

    void charge(double tokensPerWeight) {
        servedPerWeight += tokensPerWeight;
    }

    void add(AdmissionRequest r) {
        requests.add(r);
    }

    boolean remove(AdmissionRequest r) {
        return requests.remove(r);
    }

    AdmissionRequest first() {
        return requests.first();
    }

    AdmissionRequest last() {
        return requests.last();
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }
}
