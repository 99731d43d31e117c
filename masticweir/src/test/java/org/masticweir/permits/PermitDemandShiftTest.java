package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;

/** The demand of all routers for one rate moves to one of them from one moment to the next. */
class PermitDemandShiftTest {
    private static final long SHIFT_MS = 20_000;
    private static final long COUNTED_FROM_MS = SHIFT_MS + 3_000;
    private static final long END_MS = SHIFT_MS + 6_000;
    private static final long DEMAND_INTERVAL_MS = 20;
    private static final double MIN_PART = 0.75;

    private final PermitIssuer issuer = new PermitIssuer();

    /** Returns how many permits the one router gets from 3 s after the shift on. */
    private int replay(int routers, PermitKey key, SharedRate rate) {
        long[] suspendedUntilMs = new long[routers];
        int granted = 0;
        for (long now = 0; now < END_MS; now += DEMAND_INTERVAL_MS) {
            int requesters = now < SHIFT_MS ? routers : 1;
            for (int i = 0; i < requesters; i++) {
                if (now < suspendedUntilMs[i]) {
                    continue;
                }
                PermitDecision decision = issuer.decide(RouterId.of("r" + i), key, 0, rate, 0, now);
                if (!decision.isGranted()) {
                    suspendedUntilMs[i] = now + decision.retryAfterMs();
                } else if (now >= COUNTED_FROM_MS) {
                    granted++;
                }
            }
        }
        return granted;
    }

    private void assertUsed(int routers, PermitKey key, SharedRate rate) {
        int granted = replay(routers, key, rate);
        double possible = rate.perSecond() * (END_MS - COUNTED_FROM_MS) / 1_000;
        assertTrue(granted >= MIN_PART * possible, granted + " of " + possible);
    }

    /** Guards against a router that is held off by asks of others who need no permits any more. */
    @Nested
    class OneRouter {
        @ParameterizedTest
        @ValueSource(ints = {8, 61, 95, 390})
        void getsTheLimitOfAServer(int routers) {
            PermitKey key = PermitKey.ofServer(ServerIncarnation.ofUnknownStart(EngineId.of("i")));
            assertUsed(routers, key, SharedRate.ofServer(4.7));
        }

        @ParameterizedTest
        @ValueSource(ints = {8, 61, 95, 390})
        void getsTheRetriesOfAService(int routers) {
            PermitKey key = PermitKey.ofRetries(ServiceName.of("s"));
            assertUsed(routers, key, SharedRate.ofAllowance(150));
        }
    }
}
