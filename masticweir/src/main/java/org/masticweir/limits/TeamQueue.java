package org.masticweir.limits;

import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingLong;

import java.util.NavigableSet;
import java.util.TreeSet;

/** One team's waiting requests of one class, earliest deadline first; not thread-safe. */
final class TeamQueue {
    private final NavigableSet<WorkRequest> waiting =
            new TreeSet<>(
                    comparingLong(WorkRequest::firstTokenDueMs)
                            .thenComparing(comparing(r -> r.id().value())));

    /** Tokens served per unit of weight, on the class's virtual clock. */
    private double servedPerWeight;

    TeamQueue(double servedPerWeight) {
        this.servedPerWeight = servedPerWeight;
    }

    double servedPerWeight() {
        return servedPerWeight;
    }

    void charge(double tokensPerWeight) {
        servedPerWeight += tokensPerWeight;
    }

    void add(WorkRequest r) {
        waiting.add(r);
    }

    boolean remove(WorkRequest r) {
        return waiting.remove(r);
    }

    WorkRequest first() {
        return waiting.first();
    }

    WorkRequest last() {
        return waiting.last();
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }
}
