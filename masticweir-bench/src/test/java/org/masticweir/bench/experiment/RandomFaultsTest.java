package org.masticweir.bench.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests schedules that are drawn from a seed. */
final class RandomFaultsTest {
    private static final List<String> ENGINES = List.of("e1", "e2", "e3");
    private static final long RUN_MS = 10_000;

    private static FaultSchedule draw(long seed, boolean proxied) {
        return new RandomFaults(seed, ENGINES, proxied, true).draw(200, RUN_MS);
    }

    @Test
    void sameSeedDrawsTheSameSchedule() {
        assertEquals(draw(7, true), draw(7, true));
    }

    @Test
    void faultsAreOfKindsThatTheBedHasAndLeaveTimeToRecover() {
        for (Fault fault : draw(7, false).faults()) {
            assertTrue(fault.kind() != FaultKind.CUT && fault.kind() != FaultKind.STALL);
            assertTrue(fault.atMs() >= RUN_MS / 5 && fault.atMs() <= RUN_MS * 4 / 5);
        }
        assertTrue(draw(7, true).faults().stream().anyMatch(f -> f.kind() == FaultKind.CUT));
    }
}
