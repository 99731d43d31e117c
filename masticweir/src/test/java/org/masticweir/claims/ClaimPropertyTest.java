package org.masticweir.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.masticweir.error.Verdict;
import org.masticweir.id.RouterId;
import org.masticweir.store.RowKey;

/** Claims under thousands of interleavings of faults. */
class ClaimPropertyTest {
    private static final int STEPS = 250;

    /**
     * A family gets a letter twice, or is told it was not written and then gets it. The same letter
     * is submitted at two routers; answers of the table are lost or come late, routers die between
     * any two steps, the table is out. The cause would be two claims that both permit a send, or a
     * claim that permits one after its caller was refused.
     */
    @Property(seed = "7", tries = 4_000, shrinking = ShrinkingMode.OFF)
    void runsAtMostOnceAndNotRunIsTrue(@ForAll long seed) {
        ClaimWorld world = new ClaimWorld(seed, false).run(STEPS);
        assertTrue(world.mostRunsOfOneRequest() <= 1, "a request ran twice");
        assertTrue(world.notRunNeverRan(), "reported as not run, but ran");
    }

    /**
     * The same when routers write each other's claims. Two routers take themselves for the writer,
     * one dies with writes in its queue, messages are lost, late, doubled and out of order. The
     * cause would be a late insert by a former writer that lands where its claimant released it, or
     * an answer to another write that passes for a permission.
     */
    @Property(seed = "11", tries = 4_000, shrinking = ShrinkingMode.OFF)
    void runsAtMostOnceWithDelegatedWrites(@ForAll long seed) {
        ClaimWorld world = ClaimWorld.sharing(seed).run(3 * STEPS);
        assertTrue(world.mostRunsOfOneRequest() <= 1, "a request ran twice");
        assertTrue(world.notRunNeverRan(), "reported as not run, but ran");
    }

    /** The world above is hard enough: all verdicts occur, and the plain policy fails in it. */
    @Example
    void trustingWritersRunsTwice() {
        int failures = 0;
        long responses = 0;
        long runs = 0;
        long refused = 0;
        for (int seed = 0; seed < 200; seed++) {
            ClaimWorld plain = ClaimWorld.trustingWriters(seed).run(3 * STEPS);
            failures += plain.mostRunsOfOneRequest() > 1 ? 1 : 0;
            ClaimWorld world = ClaimWorld.sharing(seed).run(3 * STEPS);
            responses += world.writerResponses();
            runs += world.runs();
            refused += world.countVerdicts(Verdict.NOT_RUN);
        }
        System.out.printf(
                "claims: 200 worlds with writers: %d responses, %d runs, %d not run; plain policy"
                        + " ran twice in %d%n",
                responses, runs, refused, failures);
        assertTrue(failures > 20, "trusting writers failed in only " + failures + " of 200");
        assertTrue(responses > 1_000, "responses " + responses);
        assertTrue(runs > 100 && refused > 100, runs + " runs, " + refused);
    }

    /** The first world is hard enough: every verdict occurs, and the plain policy fails in it. */
    @Example
    void plainPolicyRunsTwice() {
        int failures = 0;
        long completed = 0;
        long refused = 0;
        for (int seed = 0; seed < 200; seed++) {
            failures += new ClaimWorld(seed, true).run(STEPS).mostRunsOfOneRequest() > 1 ? 1 : 0;
            ClaimWorld world = new ClaimWorld(seed, false).run(STEPS);
            completed += world.countVerdicts(Verdict.COMPLETED);
            refused += world.countVerdicts(Verdict.NOT_RUN);
        }
        assertTrue(failures > 20, "send, then claim failed in only " + failures + " of 200");
        assertTrue(completed > 100 && refused > 100, completed + " completed, " + refused);
    }

    /** Without faults a claim permits its send at the first answer. */
    @Example
    void claimWithoutFaultsIsGranted() {
        ClaimPolicy policy = ClaimPolicy.defaults();
        ClaimRow row = ClaimRow.claimed("n", RouterId.of("a"), 0);
        ClaimStateMachine state =
                ClaimStateMachine.of(RowKey.of("claims", "k"), row, policy, 0, 50);
        state.start(0);
        assertEquals(
                List.of(new ClaimAction.Grant(50)), state.on(new ClaimEvent.Committed(1, 9), 1));
    }
}
