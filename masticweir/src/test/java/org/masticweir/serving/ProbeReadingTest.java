package org.masticweir.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.AttemptId;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.routing.EngineState;
import org.masticweir.routing.EngineView;
import org.masticweir.routing.RoutingSnapshot;
import org.masticweir.routing.SpeedEstimate;

/**
 * A caller of a domain that is cut off waits longer, and its prompt is computed twice on the only
 * engine there: the machine stalls, a probe ends without answer, and the request moves from that
 * engine to the same one.
 */
class ProbeReadingTest {
    private static final DomainId HOME = DomainId.of("d1");
    private static final ModelId MODEL = ModelId.of("report");
    private static final String VERSION = "3";
    private static final EngineId E1 = EngineId.of("e1");
    private static final AttemptId ATTEMPT = AttemptId.of(GenerationId.of(RequestId.of("r"), 1), 1);
    private static final RecoveryEvent FAILED = new RecoveryEvent.ProbeFailed(ATTEMPT);
    private static final RecoveryEvent WITHHELD = new RecoveryEvent.ProbeWithheld(ATTEMPT);

    private static EngineView engine(String id, String version) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        BackEnd backEnd = new BackEnd(EngineId.of(id), address, HOME, "g", false);
        SpeedEstimate speed = SpeedEstimate.of(10, 10, 1, 1_000);
        return EngineView.of(backEnd, MODEL, version, LoadReport.of(1, 0, 16), 0, speed);
    }

    private static RecoveryEvent read(RecoveryEvent told, EngineView... engines) {
        RoutingSnapshot.Builder routing = RoutingSnapshot.builder(HOME, 0);
        for (EngineView engine : engines) {
            routing.add(engine);
        }
        return ProbeReading.of(told, E1, routing.build(), MODEL, VERSION);
    }

    @Test
    void theOnlyEngineIsNotLeftForItself() {
        assertEquals(WITHHELD, read(FAILED, engine("e1", VERSION)));
        assertEquals(WITHHELD, read(FAILED, engine("e1", VERSION), engine("e2", "2")));
    }

    @Test
    void itIsLeftForAnother() {
        assertEquals(FAILED, read(FAILED, engine("e1", VERSION), engine("e2", VERSION)));
    }

    @Test
    void itIsLeftOnceRoutingGivesItUp() {
        EngineView gone = engine("e1", VERSION).withState(EngineState.SUSPECT, 1);
        assertEquals(FAILED, read(FAILED, gone));
        assertEquals(FAILED, read(FAILED));
    }

    @Test
    void otherOutcomesStayAsTheyAre() {
        RecoveryEvent answered = new RecoveryEvent.ProbeAnswered(ATTEMPT, 4);
        assertEquals(answered, read(answered, engine("e1", VERSION)));
    }
}
