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

/** Tests claims under thousands of interleavings of faults. */
class ClaimPropertyTest {
    private static final int STEPS = 250;

    /**
     * Guards against a letter that is sent twice, or that is sent after its caller was refused. The
     * same letter is submitted at two routers; responses of the table are lost or late, routers
     * crash between any two steps, and the table has outages. The cause would be two claims that
     * both permit a send, or a claim that permits one after its caller was refused.
     */
    @Property(seed = "7", tries = 4_000, shrinking = ShrinkingMode.OFF)
    void runsAtMostOnceAndNotRunIsTrue(@ForAll long seed) {
        ClaimWorld world = new ClaimWorld(seed, false).run(STEPS);
        assertTrue(world.mostRunsOfOneRequest() <= 1, "a request ran twice");
        assertTrue(world.notRunNeverRan(), "reported as not run, but ran");
    }

    /**
     * Guards against the same fault when routers write each other's claims. Two routers act as the
     * writer at once, one crashes with writes in its queue, and messages are lost, late, duplicated
     * and reordered. The cause would be a late insert by a former writer that is committed after
     * its claimant released the claim, or a response to another write that is mistaken for a
     * permission.
     */
    @Property(seed = "11", tries = 4_000, shrinking = ShrinkingMode.OFF)
    void runsAtMostOnceWithDelegatedWrites(@ForAll long seed) {
        ClaimWorld world = ClaimWorld.withSharedWrites(seed).run(3 * STEPS);
        assertTrue(world.mostRunsOfOneRequest() <= 1, "a request ran twice");
        assertTrue(world.notRunNeverRan(), "reported as not run, but ran");
    }

    /**
     * Verifies that the shared world triggers enough faults: all verdicts occur, and the plain
     * policy fails.
     */
    @Example
    void trustedAcceptanceRunsTwice() {
        int failures = 0;
        long responses = 0;
        long runs = 0;
        long refused = 0;
        for (int seed = 0; seed < 200; seed++) {
            ClaimWorld plain = ClaimWorld.withTrustedAcceptance(seed).run(3 * STEPS);
            failures += plain.mostRunsOfOneRequest() > 1 ? 1 : 0;
            ClaimWorld world = ClaimWorld.withSharedWrites(seed).run(3 * STEPS);
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

    /**
     * Verifies that the first world triggers enough faults: every verdict occurs, and the plain
     * policy fails.
     */
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

    /** Without faults a claim is granted with the first response. */
    @Example
    void claimWithoutFaultsIsGranted() {
        ClaimPolicy policy = ClaimPolicy.defaults();
        ClaimRow row = ClaimRow.claimed("n", RouterId.of("a"), 0);
        ClaimStateMachine state =
                ClaimStateMachine.of(RowKey.of("claims", "k"), row, policy, 0, 50);
        state.start(0);
        assertEquals(
                List.of(new ClaimAction.Grant(50)),
                state.onEvent(new ClaimEvent.Committed(1, 9), 1));
    }
}
