package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.catalog.ServiceName;
import org.masticweir.permits.SharedRate;

/**
 * Tests the part of the shared retry budget that a router may use without permits, and the retry
 * permits.
 */
class ServiceRetryBudgetsTest {
    private static final ServiceName SERVICE = ServiceName.of("lookups");
    private static final double SHARE = 0.8;
    private static final double WINDOW_S = 10;

    private static int countRetries(ServiceRetryBudgets budgets) {
        int granted = 0;
        while (budgets.tryRetry(SERVICE, 0)) {
            granted++;
        }
        return granted;
    }

    /**
     * The router may use eight tenths of the share, rounded down; a router without requests has no
     * retries.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2, 1", "10, 6", "100, 64"})
    void ownRequestsAllowShareOfRetries(int requests, int expected) {
        ServiceRetryBudgets repeats = ServiceRetryBudgets.of(SHARE, 150);
        for (int i = 0; i < requests; i++) {
            repeats.recordRequest(SERVICE, 0);
        }
        assertEquals(expected, countRetries(repeats));
    }

    /** The allowance is not an integer if the platform divides it by the size of a fleet. */
    @ParameterizedTest
    @ValueSource(doubles = {20, 24.193548387096776, 150, 150.9, 1_000})
    void rateStaysWithinAllowanceInEachWindow(double allowance) {
        SharedRate rate = ServiceRetryBudgets.of(SHARE, allowance).allowance().orElseThrow();
        double most = WINDOW_S * rate.perSecond() + rate.burst();
        assertTrue(most <= allowance, most + " retries in a window");
        assertTrue(
                WINDOW_S * rate.perSecond() >= 0.85 * allowance,
                "less than 85% of the allowance is used");
    }

    @Test
    void permitIsNotRequestedWhileSuspended() {
        ServiceRetryBudgets repeats = ServiceRetryBudgets.of(SHARE, 150);
        assertTrue(repeats.mayRequestPermit(SERVICE, 0));
        repeats.suspendPermits(SERVICE, 100);
        assertFalse(repeats.mayRequestPermit(SERVICE, 99));
        assertTrue(repeats.mayRequestPermit(SERVICE, 100));
        assertFalse(
                ServiceRetryBudgets.of(SHARE, 0).mayRequestPermit(SERVICE, 0),
                "no allowance, no permit");
    }
}
