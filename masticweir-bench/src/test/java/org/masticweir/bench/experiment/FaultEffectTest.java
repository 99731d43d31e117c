package org.masticweir.bench.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticweir.bench.load.Calls;
import org.masticweir.bench.load.ObservedCall;
import org.masticweir.bench.report.ExtraWork;
import org.masticweir.bench.report.SendCounts;
import org.masticweir.bench.standin.EngineLedger;
import org.masticweir.bench.standin.EngineRun;

/** Tests what is told of faults, on one call whose engine died. */
class FaultEffectTest {
    /** Two tokens from e1, which dies at 1025 ms; the other two come from e2 from 1420 ms on. */
    private final ObservedCall call =
            Calls.completed(
                    "k", 1000, 1000, ImmutableIntArray.of(1, 2, 3, 4), 1010, 1020, 1420, 1430);

    private final EngineLedger ledger =
            EngineLedger.of(ImmutableList.of(run("e1", 1, 0, 3), run("e2", 2, 2, 2)), 8);
    private final ImmutableList<Placement> stays = Placement.of(call, ledger);

    private EngineRun run(String engine, int attempt, int first, int produced) {
        return new EngineRun(engine, call.requestId(), 1, attempt, 42, first, produced);
    }

    private static InjectedFault fault(String text) {
        Fault fault = Fault.parse(text);
        return new InjectedFault(fault, fault.atMs(), true);
    }

    /** The wait that a fault caused. */
    @Nested
    class ResumeLatency {
        @Test
        void isTheWaitOfACallWhoseEngineDied() {
            FaultEffect effect = FaultEffect.of(fault("1025,kill,e1"), stays);
            assertEquals(1, effect.affected());
            assertEquals(ImmutableList.of(400L), effect.resumeMs());
            assertEquals(0, effect.unresumed());
        }

        @Test
        void isNotToldOfCallsOnOtherEngines() {
            assertEquals(0, FaultEffect.of(fault("1025,kill,e3"), stays).affected());
            assertEquals(0, FaultEffect.of(fault("1005,pause,e2,10"), stays).affected());
        }
    }

    /** Work done again and moves. */
    @Nested
    class Cost {
        @Test
        void countsTokensComputedAgain() {
            ExtraWork extra = RecoveryCost.extraWork(ImmutableList.of(call), ledger);
            assertEquals(new ExtraWork(4, 5, 3, 8, 5), extra);
            assertEquals(0.25, extra.decodeShare(), 1e-9);
        }

        @Test
        void countsSendsAndRefusals() {
            EngineLedger refused =
                    EngineLedger.of(
                            ImmutableList.of(run("e1", 1, 0, 3), run("e2", 2, 2, 2)),
                            ImmutableList.of(call.requestId(), "another", call.requestId()),
                            8);
            SendCounts sends = RecoveryCost.sends(ImmutableList.of(call), refused);
            assertEquals(new SendCounts(1, 3, 1), sends);
            assertEquals(4, sends.perFirst(), 1e-9);
        }

        @Test
        void tellsMovesOffLiveEnginesFromOthers() {
            ImmutableList<ImmutableList<Placement>> calls = ImmutableList.of(stays);
            assertEquals(1, RecoveryCost.moves(calls));
            assertEquals(0, falseMoves(calls, "1025,kill,e1"));
            assertEquals(0, falseMoves(calls, "1022,pause,e1,100"));
            assertEquals(1, falseMoves(calls, "1022,slow,e1,100,4"));
            assertEquals(1, falseMoves(calls, "1025,kill,e2"));
            assertEquals(1, falseMoves(calls, "5000,kill,e1"));
        }

        private long falseMoves(ImmutableList<ImmutableList<Placement>> calls, String fault) {
            return RecoveryCost.falseMoves(calls, ImmutableList.of(fault(fault)));
        }
    }

    /** The reading of faults. */
    @Nested
    class Schedule {
        @Test
        void isReadFromAFile(@TempDir Path directory) throws IOException {
            Path file = directory.resolve("faults.json");
            Files.writeString(
                    file,
                    "{\"faults\":[{\"at_ms\":5,\"kind\":\"slow\",\"target\":\"e1\","
                            + "\"for_ms\":7,\"factor\":2.5}]}");
            Fault read = FaultSchedule.read(file).faults().get(0);
            assertEquals(Fault.parse("5,slow,e1,7,2.5"), read);
        }

        @Test
        void refusesAnEngineThatDoesNotExist() {
            FaultSchedule schedule = FaultSchedule.parse(ImmutableList.of("5,kill,e9"));
            assertThrows(
                    IllegalArgumentException.class,
                    () -> schedule.checkEngines(ImmutableSet.of("e1")));
        }

        @Test
        void refusesAFaultThatLastsNoTime() {
            var e = assertThrows(IllegalArgumentException.class, () -> Fault.parse("5,pause,e1"));
            assertTrue(e.getMessage().contains("e1"), e.getMessage());
        }
    }
}
