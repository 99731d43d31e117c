package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.ImmutableIntArray;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** A report that ends each engine which runs it, submitted again and again on the own interface. */
@ExtendWith(SharedTestBed.class)
final class CrashingRequestTest {
    private static final int MARK = 666;
    private static final int TOKENS = 40;
    private static final int SUBMISSIONS = 3;

    /** Engines that may end under one content. */
    private static final int LIMIT = 3;

    private final TestBed bed;

    CrashingRequestTest(TestBed bed) {
        this.bed = bed;
    }

    private static CallRequest harmful(int number) {
        return CallRequest.of(
                "north",
                "reports",
                "report",
                "harmful-" + number,
                ImmutableIntArray.of(1, 2, MARK),
                TOKENS);
    }

    private int endAndRestart(int number) {
        bed.engines().forEach(e -> bed.fault(e, "{\"end_on_token\":" + MARK + "}"));
        CallRecord record = bed.submit(harmful(number)).record();
        assertEquals(CallRecord.Outcome.ERROR, record.outcome(), record::toString);
        long ended = bed.engines().stream().filter(e -> !e.process().alive()).count();
        bed.heal();
        return (int) ended;
    }

    @Test
    void endsNoMoreEnginesThanTheLimitHoweverOftenItComes() {
        int ended = 0;
        for (int i = 0; i < SUBMISSIONS; i++) {
            ended += endAndRestart(i);
        }
        int all = ended;
        assertTrue(all <= LIMIT, () -> all + " engines ended");
    }
}
