package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tasks that fail on the control thread. */
class ControlExecutorTest {
    private static final long WAIT_MS = 5_000;

    /**
     * After one failure of its periodic status task, which then never ran again, a router received
     * no newer configuration.
     */
    @Test
    void periodicTaskContinuesAfterAFailure() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        ControlExecutor control = new ControlExecutor();
        control.scheduleWithFixedDelay(
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("thrown by the test");
                },
                1,
                1,
                TimeUnit.MILLISECONDS);
        assertTrue(runs.await(WAIT_MS, TimeUnit.MILLISECONDS));
        control.shutdownNow();
    }
}
