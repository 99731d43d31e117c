package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Steps that fail on the control thread. */
class ControlExecutorTest {
    private static final long WAIT_MS = 5_000;

    /** A router never hears of a newer configuration: its pulse had failed once and was over. */
    @Test
    void periodicTaskContinuesAfterAFailure() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        ControlExecutor control = new ControlExecutor();
        control.scheduleWithFixedDelay(
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("asked for by the test");
                },
                1,
                1,
                TimeUnit.MILLISECONDS);
        assertTrue(runs.await(WAIT_MS, TimeUnit.MILLISECONDS));
        control.shutdownNow();
    }
}
