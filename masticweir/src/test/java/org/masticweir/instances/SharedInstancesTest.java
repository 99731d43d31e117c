package org.masticweir.instances;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticweir.id.DomainId;
import org.masticweir.store.InstanceKind;
import org.masticweir.store.InstanceRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** The instance list as routers of a domain read it in turns. */
final class SharedInstancesTest {
    private static final long POLL_MS = 500;
    private static final int ROUTERS = 8;

    private final Random random = new Random(7);
    private final SharedInstances a = instances();
    private final SharedInstances b = instances();

    private SharedInstances instances() {
        return SharedInstances.every(new ReadPace(POLL_MS, 4000, 4000), () -> random);
    }

    private static InstanceRecord engine(String id, boolean leaving) {
        InetSocketAddress at = new InetSocketAddress("127.0.0.1", 9_000);
        DomainId domain = DomainId.of("a");
        return new InstanceRecord(id, InstanceKind.ENGINE, "report", domain, at, leaving);
    }

    private static Optional<InstanceNews> read(
            SharedInstances by, long nowMs, InstanceRecord... list) {
        assertTrue(by.due(ROUTERS, nowMs));
        return by.read(List.of(list));
    }

    private void bothRead(InstanceRecord... list) {
        assertEquals(Optional.empty(), read(a, 0, list));
        assertEquals(Optional.empty(), read(b, 0, list));
    }

    /** What peers tell each other. */
    @Nested
    final class News {
        @Test
        void aPeerFollowsWithoutReading() throws IOException {
            bothRead(engine("e1", false), engine("e2", false));
            InstanceRecord leaving = engine("e1", true);
            InstanceRecord come = engine("e3", false);
            InstanceNews news = read(a, 60_000, leaving, come).orElseThrow();
            assertTrue(b.heard(overTheWire(news)));
            assertEquals(List.of(leaving, come), b.list());
            assertFalse(b.heard(news), "told twice");
        }

        private InstanceNews overTheWire(InstanceNews news) throws IOException {
            try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
                InstanceNews.CODEC.encode(news, out);
                return InstanceNews.CODEC.decode(MessagePack.newDefaultUnpacker(out.toByteArray()));
            }
        }

        /**
         * An engine that left long ago still gets work from one router.
         *
         * <p>The news of it was lost with a link; later news came and was taken on top of the old
         * list. Cause: changes are taken without asking to what they are changes.
         */
        @Test
        void aRouterThatMissedNewsReadsAtOnce() {
            bothRead(engine("e1", false), engine("e2", false));
            read(a, 60_000, engine("e2", false)).orElseThrow();
            InstanceNews second = read(a, 120_000, engine("e2", true)).orElseThrow();
            assertFalse(b.heard(second));
            b.due(ROUTERS, 120_001);
            b.read(List.of(engine("e2", true)));
            assertEquals(List.of(engine("e2", true)), b.list());
        }

        /**
         * An engine that leaves goes back to live for a while, on all routers.
         *
         * <p>A slow read began before the change was told and ended after it. Cause: its older list
         * is taken for a newer one, and told to the peers as news.
         */
        @Test
        void aReadThatBeganBeforeNewsCountsForNothing() {
            bothRead(engine("e1", false));
            InstanceNews news = read(a, 60_000, engine("e1", true)).orElseThrow();
            assertTrue(b.due(ROUTERS, 60_000));
            assertTrue(b.heard(news));
            assertEquals(Optional.empty(), b.read(List.of(engine("e1", false))));
            assertEquals(List.of(engine("e1", true)), b.list());
            assertTrue(b.due(ROUTERS, 60_001), "read again at once");
        }
    }

    /** How often the list is read. */
    @Nested
    final class Turns {
        @Test
        void theDomainReadsAsTwoRoutersWould() {
            List<SharedInstances> routers = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(instances());
            }
            int reads = 0;
            for (long nowMs = 0; nowMs < 120_000; nowMs += 50) {
                for (SharedInstances r : routers) {
                    if (r.due(ROUTERS, nowMs)) {
                        r.read(ImmutableList.of(engine("e1", false)));
                        reads += nowMs >= 60_000 ? 1 : 0;
                    }
                }
            }
            assertEquals(4, reads / 60.0, 0.5);
        }

        /**
         * Bytes a second that a router reads, and how often its domain does: the users' sizes of
         * today, a region of ten times that, and the size that decides the design.
         */
        @ParameterizedTest
        @CsvSource({"2, 29, 4000, 500", "10, 300, 4200, 1000", "43, 2990, 4600, 2050"})
        void readsFitTheBytesAtEverySize(int routers, int rows, int maxBytes, int domainMs) {
            InstanceRecord[] list = new InstanceRecord[rows];
            Arrays.setAll(list, i -> engine("e" + i, false));
            int reads = 0;
            for (long nowMs = 0; nowMs < 3_600_000; nowMs += 50) {
                if (a.due(routers, nowMs)) {
                    a.read(List.of(list));
                    reads++;
                }
            }
            double bytesPerS = (double) reads * rows * ReadPace.ROW_BYTES / 3600;
            double everyMs = 3_600_000.0 / reads / routers;
            System.out.printf(
                    "%d routers, %d rows: %.0f B/s a router, a read of the domain each %.0f ms%n",
                    routers, rows, bytesPerS, everyMs);
            assertTrue(bytesPerS <= maxBytes, "" + bytesPerS);
            assertTrue(everyMs <= domainMs, "" + everyMs);
        }

        @Test
        void aRouterAloneReadsAtTheFullRate() {
            read(a, 0, engine("e1", false));
            assertFalse(a.due(1, 499));
            a.due(1, 2_000);
            a.notRead();
            assertTrue(a.due(1, 2_500));
            assertFalse(a.due(1, 9_000), "one read at a time");
        }
    }
}
