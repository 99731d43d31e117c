package org.masticweir.limits;

import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingLong;

import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/** The queued requests of one team in one class, in a fixed order; not thread-safe. */
final class TeamQueue {
    private final NavigableSet<AdmissionRequest> waiting;

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
        waiting = new TreeSet<>(comparingLong(order).thenComparing(comparing(r -> r.id().value())));
        this.servedPerWeight = servedPerWeight;
    }

    double servedPerWeight() {
        return servedPerWeight;
    }

    void charge(double tokensPerWeight) {
        servedPerWeight += tokensPerWeight;
    }

    void add(AdmissionRequest r) {
        waiting.add(r);
    }

    boolean remove(AdmissionRequest r) {
        return waiting.remove(r);
    }

    AdmissionRequest first() {
        return waiting.first();
    }

    AdmissionRequest last() {
        return waiting.last();
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }
}
