package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.quarantine.LinkedQuarantines.content;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.quarantine.LinkedQuarantines;
import org.masticweir.quarantine.Loss;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SendRule;

/** What a change of the quarantine does to the requests in flight. */
class InFlightRequestsTest {
    private static final long GAP_MS = 1_000;
    private static final long RUN_MS = 100;

    private final LinkedQuarantines quarantines = new LinkedQuarantines(1);
    private final InFlightRequests requests =
            new InFlightRequests(quarantines.of(0), quarantines.clock());

    private static ServerIncarnation incarnation(String id) {
        return ServerIncarnation.ofUnknownStart(EngineId.of(id));
    }

    /** A request at one server. */
    private static final class FakeRequest implements InFlightRequests.Request {
        private final RequestContent content;
        private final OptionalLong provenRunStartMs;
        private boolean isQuarantined;

        FakeRequest(RequestContent content, OptionalLong provenRunStartMs) {
            this.content = content;
            this.provenRunStartMs = provenRunStartMs;
        }

        @Override
        public RequestContent content() {
            return content;
        }

        @Override
        public OptionalLong provenRunStartMs() {
            return provenRunStartMs;
        }

        @Override
        public Optional<StartedRun> startedRunAt(ServerIncarnation server) {
            return provenRunStartMs.isEmpty() && server.equals(incarnation("here"))
                    ? Optional.of(new StartedRun(content, 1))
                    : Optional.empty();
        }

        @Override
        public void onQuarantined() {
            isQuarantined = true;
        }

        @Override
        public void onRouterExit() {}
    }

    private FakeRequest startedRequest(RequestContent content) {
        FakeRequest request = new FakeRequest(content, OptionalLong.empty());
        requests.add(request);
        return request;
    }

    private FakeRequest provenRequest(RequestContent content, long beganMs) {
        FakeRequest request = new FakeRequest(content, OptionalLong.of(beganMs));
        requests.add(request);
        return request;
    }

    /** Three servers end under {@code content}. */
    private void quarantine(RequestContent content) {
        for (int i = 0; i < 3; i++) {
            quarantines.advance(GAP_MS);
            long now = quarantines.nowMs();
            quarantines
                    .of(0)
                    .recordLoss(
                            content, new Loss(incarnation("i-" + i), now - RUN_MS, now), "test");
        }
        assertEquals(SendRule.REJECT, quarantines.rule(0, content));
    }

    private void applyChange(String id) {
        requests.onQuarantineChange(ImmutableSet.of(ContentId.of(id)));
    }

    /** A content or part is quarantined. */
    @Nested
    class Quarantined {
        @Test
        void endsRequestsThatHaveJustBegun() {
            RequestContent bad = content("bad");
            FakeRequest copy = startedRequest(bad);
            FakeRequest other = startedRequest(content("other"));
            quarantine(bad);
            applyChange("bad");
            assertTrue(copy.isQuarantined);
            assertFalse(other.isQuarantined);
        }

        /** Guards against the end of requests that hold a changed id, and that may be sent. */
        @Test
        void leavesRequestsAloneThatMayBeSent() {
            FakeRequest sound = startedRequest(content("sound", "first"));
            quarantine(content("bad", "first"));
            applyChange("first");
            assertFalse(sound.isQuarantined);
        }

        @Test
        void isClearedByARunThatPassedItsTrial() {
            RequestContent content = content("c");
            quarantine(content);
            provenRequest(content, quarantines.nowMs() + 1);
            FakeRequest copy = startedRequest(content);
            applyChange("c");
            assertFalse(copy.isQuarantined);
            assertEquals(SendRule.ANY_SERVER, quarantines.rule(0, content));
        }
    }

    /** Runs that have just begun at a server. */
    @Nested
    class StartedRuns {
        @Test
        void areThoseAtThisServerThatHavePassedNoTrial() {
            RequestContent started = content("a");
            startedRequest(started);
            provenRequest(content("b"), 0);
            assertEquals(
                    ImmutableList.of(new StartedRun(started, 1)),
                    requests.startedRunsAt(incarnation("here")));
            assertEquals(ImmutableList.of(), requests.startedRunsAt(incarnation("there")));
        }
    }
}
