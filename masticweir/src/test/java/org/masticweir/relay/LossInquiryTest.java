package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.masticweir.quarantine.LinkedQuarantines.content;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.quarantine.LinkedQuarantines;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SendRule;
import org.masticweir.relay.ServerProbe.Result;

/** Which contents a loss of a server is attributed to. */
class LossInquiryTest {
    private static final long RUN_MS = 100;
    private static final long GAP_MS = 1_000;

    private final LinkedQuarantines quarantines = new LinkedQuarantines(2);
    private final List<Consumer<Result>> probes = new ArrayList<>();
    private final List<StartedRun> otherRuns = new ArrayList<>();
    private final LossInquiry inquiry =
            new LossInquiry(
                    quarantines.of(0),
                    (server, catalog, callback) -> probes.add(callback),
                    server -> ImmutableList.copyOf(otherRuns),
                    quarantines::runAfter,
                    quarantines.clock());
    private int servers;

    private static BackendServer server(int number) {
        return new BackendServer(
                ServerIncarnation.ofUnknownStart(EngineId.of("i-" + number)),
                ServiceName.of("s"),
                new InetSocketAddress("127.0.0.1", 7_000),
                DomainId.of("d"),
                8,
                false);
    }

    private void lose(BackendServer server, RequestContent content, boolean isConnectionBroken) {
        StartedRun run = new StartedRun(content, quarantines.nowMs() - RUN_MS);
        inquiry.handleLoss(run, server, isConnectionBroken, Optional.empty());
    }

    private void completeProbes(Result result) {
        List<Consumer<Result>> waiting = List.copyOf(probes);
        probes.clear();
        waiting.forEach(p -> p.accept(result));
        quarantines.awaitUpdates();
    }

    /** Another server ends under {@code content} and is found to have ended. */
    private void endServerUnder(RequestContent content) {
        servers++;
        quarantines.advance(GAP_MS);
        lose(server(servers), content, true);
        completeProbes(Result.UNREACHED);
    }

    /** Candidates of one loss. */
    @Nested
    class Candidates {
        /** Guards against a loss that only the request is held against whose connection broke. */
        @Test
        void areAllRunsThatHadJustBegunThere() {
            RequestContent culprit = content("culprit");
            for (int i = 0; i < 3; i++) {
                otherRuns.clear();
                otherRuns.add(new StartedRun(culprit, quarantines.nowMs() + GAP_MS - RUN_MS));
                endServerUnder(content("c" + i));
            }
            assertEquals(SendRule.REJECT, quarantines.rule(0, culprit));
            assertNotEquals(SendRule.REJECT, quarantines.rule(0, content("c0")));
        }

        @Test
        void areAlsoRunsWhoseConnectionsBreakDuringTheInquiry() {
            RequestContent culprit = content("culprit");
            for (int i = 0; i < 3; i++) {
                quarantines.advance(GAP_MS);
                lose(server(i), content("c" + i), true);
                lose(server(i), culprit, true);
                assertEquals(1, probes.size(), "probes of one incarnation");
                completeProbes(Result.UNREACHED);
            }
            assertEquals(SendRule.REJECT, quarantines.rule(0, culprit));
        }

        @Test
        void areNoneIfTheServerLives() {
            for (int i = 0; i < 3; i++) {
                quarantines.advance(GAP_MS);
                lose(server(i), content("c"), true);
                completeProbes(Result.LIVES);
            }
            assertEquals(SendRule.ANY_SERVER, quarantines.rule(0, content("c")));
        }

        /**
         * Guards against a crash that is not counted because the process still accepted connections
         * while it ended.
         */
        @Test
        void areTheRunsOfAServerThatBreaksTheFirstProbesToo() {
            for (int i = 0; i < 3; i++) {
                quarantines.advance(GAP_MS);
                lose(server(i), content("c"), true);
                completeProbes(Result.UNKNOWN);
                quarantines.advance(RUN_MS);
                completeProbes(Result.UNREACHED);
            }
            assertEquals(SendRule.REJECT, quarantines.rule(0, content("c")));
        }

        /** Guards against requests that wait for a server about which nothing can be learnt. */
        @Test
        void areUnknownAfterSomeInconclusiveProbes() {
            lose(server(1), content("c"), true);
            for (int i = 0; i < 10; i++) {
                completeProbes(Result.UNKNOWN);
                quarantines.advance(RUN_MS);
            }
            assertEquals(0, probes.size(), "probes under way");
            assertEquals(SendRule.ANY_SERVER, quarantines.rule(0, content("c")));
        }

        /** A silent server has ended once its entry lapses. */
        @Test
        void areTheRunsOfASilentServerWhoseEntryLapses() {
            for (int i = 0; i < 3; i++) {
                quarantines.advance(GAP_MS);
                lose(server(i), content("c"), false);
                completeProbes(Result.UNREACHED);
                assertNotEquals(SendRule.REJECT, quarantines.rule(0, content("c")));
                inquiry.updateListed(Set.of());
            }
            assertEquals(SendRule.REJECT, quarantines.rule(0, content("c")));
        }
    }

    /** Requests while an inquiry runs. */
    @Nested
    class WhileInquiryRuns {
        @Test
        void waitForItsResult() {
            lose(server(1), content("c"), true);
            assertEquals(SendRule.WAIT, quarantines.rule(0, content("c")));
            completeProbes(Result.LIVES);
            assertEquals(SendRule.ANY_SERVER, quarantines.rule(0, content("c")));
        }

        @Test
        void doNotWaitForTheProbeOfASilentServer() {
            lose(server(1), content("c"), false);
            assertEquals(SendRule.ANY_SERVER, quarantines.rule(0, content("c")));
        }

        /**
         * Guards against a trial at another router that begins after the trial here has ended its
         * server, and before this is known.
         */
        @Test
        void waitAtOtherRoutersToo() {
            endServerUnder(content("c"));
            lose(server(9), content("c"), true);
            quarantines.awaitUpdates();
            assertEquals(SendRule.WAIT, quarantines.rule(1, content("c")));
            completeProbes(Result.LIVES);
            assertNotEquals(SendRule.WAIT, quarantines.rule(1, content("c")));
        }
    }
}
