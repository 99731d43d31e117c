package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;

/** Letters run once though the router that writes the domain's claims fails. */
final class ClaimWriterTest {
    private static final int SHARED = 1;
    private static final int UNSHARED = 1_000;
    private static final int LETTERS = 90;
    private static final int TOKENS = 4;
    private static final long EVERY_MS = 50;

    /** So many letters that routers which each write for themselves have groups of few. */
    private static final int MANY = 300;

    private static final long MANY_EVERY_MS = 5;
    private static final long WATCH_MS = 2_000;

    /** Letters under way, in the order of their submission. */
    private static List<RunningCall> submit(ClaimWriterBed bed, int count, long everyMs) {
        ImmutableList<ClaimWriterBed.Node> routers = bed.others();
        List<RunningCall> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CallRequest letter = Letters.followUp(TOKENS);
            calls.add(bed.submit(routers.get(i % routers.size()), letter));
            Await.elapse(everyMs);
        }
        return calls;
    }

    /**
     * Has every router and engine answer once before the test counts.
     *
     * <p>A process that has only just started may take longer for its first answer than an engine
     * is waited for; such a letter ends as may have run, whoever wrote its claim.
     */
    private static void warm(ClaimWriterBed bed) {
        Runs runs = new Runs(bed.bed());
        for (RunningCall call : submit(bed, 3 * bed.others().size(), EVERY_MS)) {
            CallRecord record = call.record();
            assertTrue(runs.count(call.request()) <= 1, () -> "runs of " + record);
        }
    }

    private static void assertEachOnce(ClaimWriterBed bed, String what, List<RunningCall> calls) {
        List<CallRecord> records = calls.stream().map(RunningCall::record).toList();
        long completed =
                records.stream().filter(r -> r.outcome() == CallRecord.Outcome.COMPLETED).count();
        List<Long> took = records.stream().map(r -> r.endedAtMs() - r.startedAtMs()).toList();
        System.out.printf(
                "claims: %s: %d of %d letters written, answer after p50 %d, longest %d ms%n",
                what,
                completed,
                calls.size(),
                took.stream().sorted().toList().get(took.size() / 2),
                took.stream().mapToLong(t -> t).max().orElse(0));
        Runs runs = new Runs(bed.bed());
        Await.elapse(WATCH_MS);
        for (int i = 0; i < calls.size(); i++) {
            CallRecord record = records.get(i);
            assertEquals(1, runs.count(calls.get(i).request()), () -> "runs of " + record);
            assertEquals(CallRecord.Outcome.COMPLETED, record.outcome(), () -> "answer " + record);
        }
    }

    /** All routers run. */
    @Nested
    final class Quiet {
        private static final double LEAST_GAIN = 0.75;

        /** One router writes for all four, so that the table takes fewer writes. */
        @Test
        void theTableTakesFewerWrites() {
            long alone = writesOf(UNSHARED);
            long shared = writesOf(SHARED);
            String figures = shared + " writes, " + alone + " with each for itself";
            assertTrue(shared < LEAST_GAIN * alone, figures);
        }

        /** Returns the writes of a burst of letters at the three routers that are not first. */
        private long writesOf(int shareAbove) {
            try (ClaimWriterBed bed = ClaimWriterBed.sharingAbove(shareAbove)) {
                warm(bed);
                long before = bed.platformWrites();
                List<RunningCall> calls = submit(bed, MANY, MANY_EVERY_MS);
                String what = shareAbove == SHARED ? "shared" : "each for itself";
                assertEachOnce(bed, what, calls);
                long writes = bed.platformWrites() - before;
                System.out.printf("claims: %s: %d writes of %d letters%n", what, writes, MANY);
                return writes;
            }
        }
    }

    /**
     * The router that writes the domain's claims is lost while letters come in at the others.
     *
     * <p>A caller would get no letter, or would get it twice: once under the claim that the lost
     * router wrote, once under that of the router that got tired of waiting.
     */
    @Nested
    final class WriterLost {
        @Test
        void killed() {
            assertEachOnceThough("writer killed", bed -> bed.writer().process().kill());
        }

        /** Its connections stay open; when it wakes, it writes claims that were long written. */
        @Test
        void pausedAndWoken() {
            assertEachOnceThough(
                    "writer paused",
                    bed -> bed.writer().process().pause(),
                    bed -> bed.writer().process().resume());
        }

        /** Its calls to the table are refused, those of the others are not. */
        @Test
        void cutFromTheTable() {
            assertEachOnceThough(
                    "writer cut from the table", bed -> bed.toPlatform(bed.writer(), "cut"));
        }

        /** Its calls to the table get no answer; those that were held may land later. */
        @Test
        void cutFromTheTableInSilence() {
            assertEachOnceThough(
                    "writer cut from the table in silence",
                    bed -> bed.toPlatform(bed.writer(), "stall_up"),
                    bed -> bed.toPlatform(bed.writer(), "pass"));
        }

        private void assertEachOnceThough(String what, Step fault) {
            assertEachOnceThough(what, fault, bed -> {});
        }

        private void assertEachOnceThough(String what, Step fault, Step end) {
            try (ClaimWriterBed bed = ClaimWriterBed.sharingAbove(SHARED)) {
                warm(bed);
                List<RunningCall> calls = new ArrayList<>(submit(bed, LETTERS / 3, EVERY_MS));
                fault.apply(bed);
                calls.addAll(submit(bed, LETTERS, EVERY_MS));
                end.apply(bed);
                calls.addAll(submit(bed, LETTERS / 3, EVERY_MS));
                assertEachOnce(bed, what, calls);
            }
        }
    }

    /** Begins or ends a fault. */
    private interface Step {
        void apply(ClaimWriterBed bed);
    }
}
