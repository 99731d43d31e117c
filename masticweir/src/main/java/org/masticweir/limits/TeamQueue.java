package org.masticweir.limits;

import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingLong;

import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/** One team's waiting requests of one class, in a given order; not thread-safe. */
final class TeamQueue {
    private final NavigableSet<AdmissionRequest> waiting;

    /** Tokens served per unit of weight, on the class's virtual clock. */
    private double servedPerWeight;

    /**
     * Creates an empty queue.
     *
     * @param byDeadline whether the earliest deadline goes first, or else the earliest arrival
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
