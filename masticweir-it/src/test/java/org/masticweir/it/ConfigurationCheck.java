package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticweir.it.FaultRun.ProposedChange;
import org.masticweir.it.FaultRun.Struck;
import org.masticweir.it.RevisionLog.Seen;

/**
 * No router goes back to an older revision, every written change is in force everywhere within a
 * bound, and of changes on one base one is written.
 */
final class ConfigurationCheck implements PromiseCheck {
    /** Longest time until a router that can hear of a change has it in force. */
    static final long IN_FORCE_BOUND_MS = 10_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public ImmutableList<String> violations(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        found.addAll(reverts(run));
        found.addAll(answers(run));
        for (ProposedChange change : run.changes()) {
            if (change.written()) {
                found.addAll(late(run, change));
            }
        }
        return found.build();
    }

    private static ImmutableList<String> reverts(FaultRun run) {
        Map<String, Long> last = new HashMap<>();
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (Seen seen : run.revisions()) {
            long before = last.getOrDefault(seen.router(), 0L);
            if (seen.revision() < before) {
                found.add(seen.router() + " went back from " + before + ": " + seen);
            }
            last.put(seen.router(), seen.revision());
        }
        return found.build();
    }

    /** Compares what operators were told with what the platform's table holds. */
    private static ImmutableList<String> answers(FaultRun run) {
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (ProposedChange change : run.changes()) {
            long inTable = run.accepted().getOrDefault(change.id(), 0L);
            if (change.written() && inTable != change.revision()) {
                found.add("said to be written, but the table has " + run.accepted() + change);
            }
            if (change.refused() && inTable > 0) {
                found.add("refused, but the table has it: " + change);
            }
        }
        ImmutableListMultimap<Long, ProposedChange> byBase =
                Multimaps.index(run.changes(), ProposedChange::base);
        for (Long base : byBase.keySet()) {
            if (byBase.get(base).stream().filter(ProposedChange::written).count() > 1) {
                found.add("several were written on base " + base + ": " + byBase.get(base));
            }
        }
        return found.build();
    }

    private static ImmutableList<String> late(FaultRun run, ProposedChange change) {
        ImmutableListMultimap<String, Seen> byRouter =
                Multimaps.index(run.revisions(), Seen::router);
        ImmutableList.Builder<String> found = ImmutableList.builder();
        for (String router : byRouter.keySet()) {
            long firstMs =
                    byRouter.get(router).stream()
                            .filter(s -> s.revision() >= change.revision())
                            .mapToLong(Seen::atMs)
                            .min()
                            .orElse(Long.MAX_VALUE);
            long sinceMs = reachableSinceMs(router, change.answeredAtMs(), run.struck());
            if (firstMs > sinceMs + IN_FORCE_BOUND_MS) {
                String at = firstMs == Long.MAX_VALUE ? "never" : "at " + firstMs;
                found.add(change + " in force at " + router + " " + at + ", due from " + sinceMs);
            }
        }
        return found.build();
    }

    /** Returns from when on, at {@code ms} or later, nothing that struck {@code router} went on. */
    private static long reachableSinceMs(String router, long ms, List<Struck> struck) {
        long sinceMs = ms;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Struck s : struck) {
                boolean covers = s.fromMs() <= sinceMs && sinceMs < s.toMs();
                if (s.router().equals(router) && covers) {
                    sinceMs = s.toMs();
                    moved = true;
                }
            }
        }
        return sinceMs;
    }
}
