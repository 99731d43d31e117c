package org.masticweir.bench.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import java.util.OptionalLong;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.load.ObservedCall;

/**
 * What a fault did to the calls that it met.
 *
 * @param affected calls that the fault met
 * @param resumeMs waits of those that went on
 * @param unresumed calls that never went on, though their answer was not whole
 */
record FaultEffect(
        InjectedFault fault, long affected, ImmutableList<Long> resumeMs, long unresumed) {
    static FaultEffect of(InjectedFault fault, List<Placement> placements) {
        ImmutableSet<ObservedCall> met =
                placements.stream()
                        .filter(p -> strikes(fault, p))
                        .map(Placement::call)
                        .collect(ImmutableSet.toImmutableSet());
        ImmutableList.Builder<Long> waits = ImmutableList.builder();
        long unresumed = 0;
        for (ObservedCall call : met) {
            OptionalLong wait = waitMs(call.record(), fault);
            wait.ifPresent(waits::add);
            if (wait.isEmpty() && !call.completed()) {
                unresumed++;
            }
        }
        return new FaultEffect(fault, met.size(), waits.build(), unresumed);
    }

    private static boolean strikes(InjectedFault fault, Placement stay) {
        boolean there =
                fault.fault().kind().strikesAll() || fault.fault().target().equals(stay.engine());
        return there && fault.overlaps(stay.fromMs(), stay.untilMs());
    }

    /**
     * Returns the longest wait for a token that began or lasted while the fault did.
     *
     * <p>A call without a token yet waits from the fault, or from its own start if that is later.
     */
    static OptionalLong waitMs(CallRecord record, InjectedFault fault) {
        ImmutableLongArray times = record.tokenAtMs();
        long until = fault.untilMs() + InjectedFault.IN_FLIGHT_MS;
        OptionalLong longest = OptionalLong.empty();
        long before = Math.max(fault.fromMs(), record.startedAtMs());
        for (int i = 0; i < times.length(); i++) {
            long at = times.get(i);
            if (at >= fault.fromMs() && before <= until) {
                longest = OptionalLong.of(Math.max(longest.orElse(0), at - before));
            }
            before = at;
        }
        return longest;
    }
}
