package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;

/**
 * All that callers, operators and stand-ins recorded of one run of a plan; immutable.
 *
 * @param traces one for each caller
 * @param runs what back ends had run at the end
 * @param runsLater the same after a further while
 * @param accepted the changes in the platform's table, each with its revision
 */
record FaultRun(
        FaultPlan plan,
        ImmutableList<CallTrace> traces,
        ImmutableList<StandInRuns.Run> runs,
        ImmutableList<StandInRuns.Run> runsLater,
        ImmutableList<RevisionLog.Seen> revisions,
        ImmutableList<ProposedChange> changes,
        ImmutableMap<String, Long> accepted,
        ImmutableList<Struck> struck,
        ImmutableList<Leaving> leavings,
        ImmutableList<Drained> drained,
        long endedAtMs) {
    FaultRun {
        checkNotNull(plan, "plan");
    }

    /** A router that was struck so that it could not follow the others. */
    record Struck(String router, long fromMs, long toMs) {}

    /**
     * A change as its operator saw it.
     *
     * @param outcome of the answer, empty when there was an error or no answer
     * @param code of the error, empty when there was none
     */
    record ProposedChange(
            String id, long base, String outcome, String code, long revision, long answeredAtMs) {
        ProposedChange {
            checkNotNull(outcome, "outcome");
            checkNotNull(code, "code");
        }

        /** Tells whether the operator was told that the change is written. */
        boolean written() {
            return outcome.equals("accepted") || outcome.equals("pending");
        }

        /** Tells whether the operator was told that the change is not written. */
        boolean refused() {
            return !code.isEmpty();
        }
    }

    /** A leaving engine's runs some seconds after it began to leave, and at the end of that. */
    record Leaving(
            String engine,
            ImmutableSet<StandInRuns.Run> afterSeconds,
            ImmutableSet<StandInRuns.Run> atEnd) {}

    /**
     * A router's graceful shutdown.
     *
     * @param left what kept its process from ending by itself within the bound, empty if it did
     */
    record Drained(String router, long fromMs, long toMs, String left) {}

    /** Returns one line that tells of plan, calls and {@code checks}. */
    String line(String checks) {
        ImmutableMultiset<String> verdicts =
                traces.stream()
                        .map(CallTrace::verdict)
                        .sorted()
                        .collect(ImmutableMultiset.toImmutableMultiset());
        long returned = traces.stream().filter(t -> t.parts().size() > 1).count();
        return String.format(
                "random faults: seed %d, %d steps, %d calls %s, %d came back, %d told not run of a key"
                        + " that ran by another submission, %d changes; %s",
                plan.seed(),
                plan.steps().size(),
                traces.size(),
                verdicts,
                returned,
                toldNotRunBesideARun(),
                accepted.size(),
                checks);
    }

    /** Returns how many callers heard "not run" last of a key that another submission ran. */
    private long toldNotRunBesideARun() {
        return traces.stream()
                .filter(t -> t.verdict().equals("NOT_RUN"))
                .filter(t -> runs.stream().anyMatch(r -> r.request().equals(t.requestId())))
                .count();
    }
}
