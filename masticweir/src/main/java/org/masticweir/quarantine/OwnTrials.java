package org.masticweir.quarantine;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.masticweir.id.ContentId;

/** The trials of one router, with the suspected ids that each of them tries. */
final class OwnTrials {
    private final Map<RequestContent, Deque<ImmutableSet<ContentId>>> idsOfTrials = new HashMap<>();

    void begin(RequestContent content, ImmutableSet<ContentId> ids) {
        idsOfTrials.computeIfAbsent(content, c -> new ArrayDeque<>()).add(ids);
    }

    /** Ends a trial of {@code content} and returns the ids that it tried. */
    ImmutableSet<ContentId> end(RequestContent content) {
        Deque<ImmutableSet<ContentId>> trials = idsOfTrials.get(content);
        if (trials == null) {
            return ImmutableSet.of();
        }
        ImmutableSet<ContentId> ids = trials.poll();
        if (trials.isEmpty()) {
            idsOfTrials.remove(content);
        }
        return ids;
    }
}
