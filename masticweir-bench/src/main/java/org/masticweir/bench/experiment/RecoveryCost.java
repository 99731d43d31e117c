package org.masticweir.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.bench.load.ObservedCall;
import org.masticweir.bench.report.ExtraWork;
import org.masticweir.bench.report.SendCounts;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.bench.standin.EngineRun;

/** What recovery cost: work done again, and moves that were not needed. */
final class RecoveryCost {
    private RecoveryCost() {}

    static ExtraWork extraWork(List<ObservedCall> calls, EngineLedger ledger) {
        long usefulDecode = 0;
        long decode = 0;
        long usefulPrefill = 0;
        long repeatedPrefill = 0;
        for (ObservedCall call : calls) {
            ImmutableList<EngineRun> runs = ledger.runsOf(call.requestId());
            usefulDecode += call.completed() ? call.record().tokens().length() : 0;
            usefulPrefill += runs.isEmpty() ? 0 : call.promptTokens();
            decode += runs.stream().mapToLong(EngineRun::produced).sum();
            repeatedPrefill +=
                    runs.stream()
                            .skip(1)
                            .mapToLong(r -> (long) call.promptTokens() + r.first())
                            .sum();
        }
        return new ExtraWork(
                usefulDecode, decode, usefulPrefill, ledger.prefillTokens(), repeatedPrefill);
    }

    /** Returns what engines were asked for. */
    static SendCounts sends(List<ObservedCall> calls, EngineLedger ledger) {
        long requests = 0;
        long fresh = 0;
        long resumed = 0;
        for (ObservedCall call : calls) {
            ImmutableList<EngineRun> runs = ledger.runsOf(call.requestId());
            long resumedRuns = runs.stream().filter(r -> r.first() > 0).count();
            long freshRuns = runs.size() - resumedRuns + ledger.refusalsOf(call.requestId());
            requests += resumedRuns + freshRuns > 0 ? 1 : 0;
            fresh += freshRuns;
            resumed += resumedRuns;
        }
        return new SendCounts(requests, fresh, resumed);
    }

    /** Returns how many times a generation went from one engine to another. */
    static long moves(List<ImmutableList<Placement>> calls) {
        return calls.stream().mapToLong(stays -> moves(stays, ImmutableList.of())).sum();
    }

    /** Returns how many moves left an engine that no fault had put out of reach. */
    static long falseMoves(List<ImmutableList<Placement>> calls, List<InjectedFault> faults) {
        return calls.stream().mapToLong(stays -> moves(stays, faults)).sum();
    }

    /** Counts the moves of one call, but for those that {@code faults} justify. */
    private static long moves(List<Placement> stays, List<InjectedFault> faults) {
        long count = 0;
        for (int i = 1; i < stays.size(); i++) {
            Placement left = stays.get(i - 1);
            Placement entered = stays.get(i);
            boolean moved = !left.engine().equals(entered.engine());
            boolean justified = faults.stream().anyMatch(f -> justifies(f, left, entered));
            if (moved && !justified) {
                count++;
            }
        }
        return count;
    }

    /**
     * Tells whether {@code fault} had put the engine left out of reach.
     *
     * <p>The last tokens of a dead engine may reach the caller a little after its death.
     */
    private static boolean justifies(InjectedFault fault, Placement left, Placement entered) {
        long lastTokenMs = entered.fromMs() - InjectedFault.IN_FLIGHT_MS;
        return fault.downs(left.engine()) && fault.overlaps(lastTokenMs, left.untilMs());
    }
}
