package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;

/** Tests which permit requests for one rate are granted, and how many. */
class PermitIssuerTest {
    private static final PermitKey KEY =
            PermitKey.ofServer(ServerIncarnation.ofUnknownStart(EngineId.of("i-1")));

    private static final SharedRate EIGHT_PER_SECOND = SharedRate.ofServer(8);
    private static final int URGENT = 0;
    private static final int LESS_URGENT = 3;

    private final PermitIssuer issuer = new PermitIssuer();

    private PermitDecision request(int urgency, long nowMs) {
        return request("r1", urgency, 0, nowMs);
    }

    private PermitDecision request(String router, int urgency, long sinceMs, long nowMs) {
        return issuer.decide(RouterId.of(router), KEY, urgency, EIGHT_PER_SECOND, sinceMs, nowMs);
    }

    private int countGrantsAtOnce(long sinceMs, long nowMs) {
        int granted = 0;
        while (request("r1", URGENT, sinceMs, nowMs).isGranted()) {
            granted++;
        }
        return granted;
    }

    @Test
    void savesTokensOfAQuarterSecondAtMost() {
        assertEquals(2, countGrantsAtOnce(0, 60_000));
        assertEquals(0, countGrantsAtOnce(0, 60_050));
        assertEquals(1, countGrantsAtOnce(0, 60_125));
    }

    /** Without this, permits that the previous issuer has just granted would be granted again. */
    @Test
    void grantsNoTokensFromBeforeItBecameTheIssuer() {
        assertEquals(0, countGrantsAtOnce(10_000, 10_050));
        assertEquals(1, countGrantsAtOnce(10_000, 10_130));
    }

    @Test
    void discardsTokensSavedWhileAnotherRouterMayHaveIssued() {
        countGrantsAtOnce(0, 1_000);
        assertEquals(0, countGrantsAtOnce(20_000, 20_050));
    }

    /** Without this, less urgent lookups would consume the tokens that bookings wait for. */
    @Test
    void leavesATokenForWaitingUrgentRequests() {
        countGrantsAtOnce(0, 1_000);
        assertFalse(request(URGENT, 1_050).isGranted());
        assertFalse(
                request("r2", LESS_URGENT, 0, 1_130).isGranted(),
                "one token, reserved for the urgent request");
        assertTrue(request(URGENT, 1_140).isGranted());
    }

    /** Tokens that more urgent callers don't use must be granted to less urgent requests. */
    @Test
    void grantsRemainingTokensToLessUrgentRequests() {
        countGrantsAtOnce(0, 1_000);
        assertFalse(request(URGENT, 1_050).isGranted());
        assertTrue(request("r2", LESS_URGENT, 0, 1_260).isGranted(), "two tokens, one for each");
        assertTrue(request(URGENT, 1_270).isGranted());
    }

    @Test
    void countsUsesWithoutAPermit() {
        countGrantsAtOnce(0, 1_000);
        issuer.recordUsage(KEY, EIGHT_PER_SECOND, 0, 1_010);
        assertFalse(request(URGENT, 1_130).isGranted());
        assertTrue(request(URGENT, 1_260).isGranted());
    }

    @Test
    void spacesTheRequestsOfManyRouters() {
        for (int i = 0; i < 95; i++) {
            request("r" + i, URGENT, 0, 1_000);
        }
        assertTrue(request("r1", URGENT, 0, 1_001).retryAfterMs() >= 1_000);
        assertTrue(
                request("r1", URGENT, 0, 20_000).isGranted(),
                "the other routers no longer have callers");
        assertTrue(request("r1", URGENT, 0, 20_001).isGranted());
        assertTrue(request("r1", URGENT, 0, 20_002).retryAfterMs() <= 125);
    }
}
