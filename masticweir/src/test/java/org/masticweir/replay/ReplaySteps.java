package org.masticweir.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import java.io.IOException;

/** The sentences of the features. */
public final class ReplaySteps {
    private Trace trace;

    @Given("the recorded trace {string}")
    public void read(String name) throws IOException {
        trace = Trace.read(name);
    }

    @Then("replaying it as {word} gives the stated outcome")
    public void replay(String policy) {
        assertEquals(trace.outcome(), Policy.valueOf(policy).product().run(trace));
    }

    /** Compares with what the plain policy is stated to do, and with what it should have done. */
    @Then("{string} goes wrong on the same trace")
    public void replayPlainly(String plainName) {
        assertNotEquals(trace.outcome(), trace.plainOutcome(), "the trace states no failure");
        assertEquals(trace.plainOutcome(), Policy.ofPlainName(plainName).plain().run(trace));
    }
}
