package org.masticweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.TableReads.Read;

/** How often the routers of a domain read the configuration's rows. */
final class TableReadsTest {
    private static final long POLL_MS = 1_000;
    private static final long TICK_MS = 50;
    private static final int ROUTERS = 43;

    private final Random random = new Random(7);

    private TableReads reads() {
        return TableReads.every(POLL_MS, () -> random);
    }

    private List<TableReads> domain() {
        List<TableReads> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(reads());
        }
        return routers;
    }

    /** What one router reads. */
    @Nested
    final class OneRouter {
        @Test
        void withoutARevisionItReadsTheDocumentAtTheFullRate() {
            TableReads reads = reads();
            assertEquals(Read.WHOLE, reads.due(0, ROUTERS, 0));
            assertEquals(Read.NONE, reads.due(0, ROUTERS, 999));
            assertEquals(Read.WHOLE, reads.due(0, ROUTERS, 1_000));
        }

        @Test
        void withOneItReadsTheSmallRowAndTheDocumentNowAndThen() {
            TableReads reads = reads();
            reads.due(0, 1, 0);
            int whole = 0;
            for (int i = 1; i <= 120; i++) {
                Read read = reads.due(7, 1, i * POLL_MS);
                assertTrue(read != Read.NONE, "read " + i);
                whole += read == Read.WHOLE ? 1 : 0;
            }
            assertEquals(2, whole);
        }
    }

    /** A domain of 43 routers. */
    @Nested
    final class Domain {
        @Test
        void readsAsOftenAsFourRoutersWould() {
            List<TableReads> routers = domain();
            int count = 0;
            for (long nowMs = 0; nowMs < 120_000; nowMs += TICK_MS) {
                for (TableReads r : routers) {
                    boolean read = r.due(7, ROUTERS, nowMs) != Read.NONE;
                    count += read && nowMs >= 60_000 ? 1 : 0;
                }
            }
            assertEquals(4, count / 60.0, 0.5);
        }

        /**
         * Operators are told that a change is in force, and one domain never follows.
         *
         * <p>All routers started together; then most of them cannot reach the table, while their
         * peers still hear them. Where four fixed routers read for the domain and are among those,
         * nobody reads: that is the plain version. Here any router that reaches the table finds the
         * change in its turn.
         */
        @Test
        void aChangeIsFoundThoughMostRoutersCannotReadTheTable() {
            long atMs = 60_000;
            List<TableReads> routers = domain();
            List<TableReads> plain = routers.subList(0, 4);
            List<TableReads> reaching = routers.subList(ROUTERS - 8, ROUTERS);
            OptionalLong found = OptionalLong.empty();
            for (long nowMs = 0; found.isEmpty() && nowMs < 120_000; nowMs += TICK_MS) {
                for (TableReads r : routers) {
                    boolean read = r.due(7, ROUTERS, nowMs) != Read.NONE;
                    if (read && nowMs >= atMs && reaching.contains(r)) {
                        found = OptionalLong.of(nowMs - atMs);
                    }
                }
            }
            assertTrue(plain.stream().noneMatch(reaching::contains), "the plain version never");
            System.out.printf("config: found by 8 of 43 after %d ms%n", found.orElseThrow());
            assertTrue(found.getAsLong() <= 5_000, found.toString());
        }
    }
}
