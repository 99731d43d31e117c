package org.masticweir.permits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.permits.LimitUpdate.ServerLimit;

/** Tests which of several reports of a server's limit is applied. */
class ServerLimitsTest {
    private static final EngineId ID = EngineId.of("i-1");
    private static final ServerIncarnation SERVER = ServerIncarnation.of(ID, 1_000);
    private static final AnnouncedLimit FIVE_PER_SECOND = AnnouncedLimit.of(5);

    private final ServerLimits limits = ServerLimits.create();

    private static ServerLimit reportedLimit(OptionalDouble perSecond, long ageMs) {
        return new ServerLimit(SERVER, perSecond, ageMs);
    }

    @Test
    void isSetAndChangedByAnswers() {
        assertTrue(limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 100));
        assertFalse(limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 200));
        assertTrue(limits.recordAnswer(SERVER, AnnouncedLimit.of(2.5), 150, 300));
        assertEquals(OptionalDouble.of(2.5), limits.perSecond(SERVER));
    }

    /**
     * The headers of a stream that were sent before the limit was set may arrive after the limit.
     */
    @Test
    void isNotLiftedByAnAnswerToAnEarlierRequest() {
        limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 100);
        assertFalse(limits.recordAnswer(SERVER, AnnouncedLimit.none(), 90, 200));
        assertTrue(limits.isLimited(SERVER));
        assertTrue(limits.recordAnswer(SERVER, AnnouncedLimit.none(), 110, 300));
        assertFalse(limits.isLimited(SERVER));
    }

    @Test
    void isKeptOnAnUnreadableAnswer() {
        limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 100);
        assertFalse(limits.recordAnswer(SERVER, AnnouncedLimit.unreadable(), 200, 300));
        assertEquals(OptionalDouble.of(5), limits.perSecond(SERVER));
    }

    @Test
    void isNotChangedByAnOlderReport() {
        limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 1_000);
        assertFalse(limits.merge(reportedLimit(OptionalDouble.empty(), 500), 1_200));
        assertTrue(limits.isLimited(SERVER));
        assertTrue(limits.merge(reportedLimit(OptionalDouble.empty(), 100), 1_200));
        assertFalse(limits.isLimited(SERVER));
    }

    @Test
    void belongsToOneIncarnation() {
        limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 100);
        ServerIncarnation next = ServerIncarnation.of(ID, 2_000);
        assertFalse(limits.isLimited(next));
        limits.retainServers(Set.of(next));
        assertFalse(limits.isLimited(SERVER));
    }

    @Test
    void blocksOnlyWhileTheLimitIsSet() {
        limits.recordAnswer(SERVER, FIVE_PER_SECOND, 0, 100);
        limits.blockUntil(SERVER, 500);
        assertEquals(300, limits.remainingBlockMs(SERVER, 200));
        limits.recordAnswer(SERVER, AnnouncedLimit.none(), 150, 250);
        assertEquals(0, limits.remainingBlockMs(SERVER, 260));
    }
}
