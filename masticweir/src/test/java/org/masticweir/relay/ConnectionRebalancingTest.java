package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Connections that callers keep open at one router. */
class ConnectionRebalancingTest {
    private static final long INTERVAL_MS = 50;
    private static final int USUAL = 40;
    private static final int HERD = 320;

    private final ConnectionRebalancing rebalancing = new ConnectionRebalancing(0);
    private long nowMs;
    private int openCount;
    private int closedCount;

    private void open(int count) {
        for (int i = 0; i < count; i++) {
            rebalancing.connectionUsed();
        }
        openCount += count;
    }

    /**
     * Each open connection carries a request a second; those that are closed reconnect elsewhere.
     */
    private void run(long durationMs) {
        double answers = 0;
        for (long end = nowMs + durationMs; nowMs < end; nowMs += INTERVAL_MS) {
            rebalancing.update(nowMs);
            answers += openCount * INTERVAL_MS / 1_000.0;
            while (answers >= 1) {
                answers--;
                if (rebalancing.closesAfterAnswer(true)) {
                    rebalancing.connectionClosed();
                    openCount--;
                    closedCount++;
                }
            }
        }
    }

    /** Guards against a router that keeps most of the callers after a herd. */
    @Test
    void closesWhatAHerdLeftWithinSeconds() {
        open(USUAL);
        run(120_000);
        assertEquals(0, closedCount);
        open(HERD);
        run(8_000);
        assertTrue(openCount <= 2 * USUAL, openCount + " open");
        assertTrue(openCount >= USUAL, openCount + " open");
        run(120_000);
        assertFalse(rebalancing.isActive());
    }

    /** Guards against needless reconnections when the number of callers varies by chance. */
    @Test
    void closesNoneAtUsualNumbers() {
        open(4);
        run(120_000);
        open(6);
        run(120_000);
        open(8);
        run(120_000);
        assertEquals(0, closedCount);
    }

    /** Guards against reconnections of all callers while all routers start. */
    @Test
    void closesNoneAfterTheStart() {
        run(5_000);
        open(HERD);
        run(120_000);
        assertEquals(0, closedCount);
    }

    /** Guards against callers that are sent away from the only router that they reach. */
    @Test
    void closesNoneWhileNoOtherRouterIsLinked() {
        open(USUAL);
        run(120_000);
        open(HERD);
        rebalancing.update(nowMs);
        assertTrue(rebalancing.isActive());
        for (int i = 0; i < HERD; i++) {
            assertFalse(rebalancing.closesAfterAnswer(false));
        }
    }
}
