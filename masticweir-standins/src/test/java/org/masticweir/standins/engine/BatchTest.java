package org.masticweir.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what each step computes, how long it takes and what is reported. */
class BatchTest {
    private static final long NOW_MS = 1000;

    private final EngineSettings settings =
            EngineParts.settings(
                    "--max-batch", "2",
                    "--max-waiting", "1",
                    "--step-ms", "20",
                    "--step-per-sequence-us", "500",
                    "--prefill-us-per-token", "100",
                    "--cache-tokens", "64");
    private final CacheEvents events = CacheEvents.of(settings);
    private final PrefixCache cache = PrefixCache.of(settings.cacheTokens(), events);
    private final EngineRecords records = new EngineRecords();
    private final Batch batch = Batch.of(settings, cache, records);
    private long arrivals;

    private Sequence add(String id, int promptTokens, int maxTokens, int priority) {
        GenerationRequest request = EngineParts.request(id, promptTokens, maxTokens, priority);
        Sequence sequence =
                Sequence.admitted(
                        request, records.open(request, NOW_MS), arrivals++, NOW_MS, false);
        batch.add(sequence);
        return sequence;
    }

    private Batch.Step step() {
        Batch.Step step = batch.begin().orElseThrow();
        batch.finish(step, NOW_MS);
        return step;
    }

    private long prefilled() {
        return records.snapshot(ImmutableList.of()).prefillTokens();
    }

    /** Which waiting sequences enter the batch. */
    @Nested
    class Entering {
        @Test
        void lowerPriorityValuesGoFirstThenEarlierArrivals() {
            Sequence late = add("late", 0, 1, 5);
            Sequence first = add("first", 0, 1, 1);
            Sequence second = add("second", 0, 1, 1);
            assertFalse(batch.hasRoom());
            assertEquals(ImmutableList.of(first, second), step().decodes());
            assertEquals(ImmutableList.of(late), step().decodes());
            assertEquals(Optional.empty(), batch.begin());
        }

        @Test
        void loadTellsRunningFromWaiting() {
            add("a", 0, 9, 1);
            add("b", 0, 9, 1);
            add("c", 0, 9, 1);
            step();
            assertEquals(new Load(2, 1), batch.load());
        }
    }

    /** What one step computes and costs. */
    @Nested
    class Steps {
        @Test
        void timeGrowsWithTheBatch() {
            add("a", 0, 9, 1);
            assertEquals(20_500, step().durationUs());
            add("b", 0, 9, 1);
            assertEquals(21_000, step().durationUs());
        }

        @Test
        void longPromptIsPrefilledInChunksWhileOthersDecode() {
            Sequence running = add("a", 0, 9, 1);
            Sequence prompted = add("b", 300, 9, 1);
            assertEquals(20_500 + 256 * 100, step().durationUs());
            assertEquals(20_500 + 44 * 100, step().durationUs());
            assertEquals(2, running.next());
            assertEquals(0, prompted.next());
            step();
            assertEquals(1, prompted.next());
        }

        @Test
        void stoppedSequenceComputesNothingMore() {
            Sequence sequence = add("a", 0, 9, 1);
            Batch.Step step = batch.begin().orElseThrow();
            sequence.stop();
            batch.remove(sequence);
            batch.finish(step, NOW_MS);
            assertEquals(0, sequence.next());
            assertEquals(0, records.snapshot(ImmutableList.of()).decodeTokens());
        }
    }

    /** Prefill saved by the prefix cache. */
    @Nested
    class Caching {
        @Test
        void samePromptIsPrefilledOnlyBeyondItsCachedBlocks() {
            add("a", 40, 1, 1);
            step();
            step();
            assertEquals(40, prefilled());
            add("b", 40, 1, 1);
            step();
            assertEquals(40 + 8, prefilled());
        }

        @Test
        void leastRecentlyUsedBlocksLeaveAndBothKindsAreReported() {
            cache.storeAll(ImmutableList.of("p1", "p2", "p3", "p4"), NOW_MS);
            assertEquals(16, cache.cachedTokens(ImmutableList.of("p1", "other")));
            cache.store("p5", NOW_MS);
            assertEquals(0, cache.cachedTokens(ImmutableList.of("p4")));
            assertEquals(48, cache.cachedTokens(ImmutableList.of("p1", "p2", "p3")));
            CacheEvents.Page page = events.since(0, NOW_MS + settings.cacheEventLagMs());
            assertEquals(6, page.events().size());
            CacheEvents.Event last = page.events().get(5);
            assertEquals(CacheEvents.Kind.EVICTED, last.kind());
            assertEquals("p4", last.prefix());
        }
    }

    /** Reports that are late or incomplete. */
    @Nested
    class Lag {
        @Test
        void eventsShowUpLateAndOnce() {
            events.add(CacheEvents.Kind.STORED, "p", NOW_MS);
            long shownMs = NOW_MS + settings.cacheEventLagMs();
            assertTrue(events.since(0, shownMs - 1).events().isEmpty());
            CacheEvents.Page page = events.since(0, shownMs);
            assertEquals(1, page.events().size());
            assertTrue(events.since(page.next(), shownMs).events().isEmpty());
        }

        @Test
        void droppedEventsLeaveGapsThatTheSeedRepeats() {
            EngineSettings gaps = EngineParts.settings("--cache-event-drop", "0.5");
            CacheEvents one = CacheEvents.of(gaps);
            CacheEvents two = CacheEvents.of(gaps);
            for (int i = 0; i < 100; i++) {
                one.add(CacheEvents.Kind.STORED, "p" + i, NOW_MS);
                two.add(CacheEvents.Kind.STORED, "p" + i, NOW_MS);
            }
            int shown = one.since(0, NOW_MS * 2).events().size();
            assertTrue(shown > 20 && shown < 80, "shown " + shown);
            assertEquals(one.since(0, NOW_MS * 2), two.since(0, NOW_MS * 2));
        }

        @Test
        void loadIsReportedAsItWas() {
            LoadHistory history = LoadHistory.lagging(100);
            history.record(new Load(1, 0), 1000);
            history.record(new Load(2, 0), 1050);
            assertEquals(new Load(0, 0), history.reported(1099));
            assertEquals(new Load(1, 0), history.reported(1100));
            assertEquals(new Load(2, 0), history.reported(1150));
        }
    }
}
