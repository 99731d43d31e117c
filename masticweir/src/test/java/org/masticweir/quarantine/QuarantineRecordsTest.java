package org.masticweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.EngineId;
import org.masticweir.quarantine.Quarantine.ContentUpdate;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.time.ManualClock;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the records of crashes in messages between routers and in the store. */
class QuarantineRecordsTest {
    private static final int TYPE = 99;
    private static final ContentId PART = ContentId.of("part");

    private static CrashRecord recordWithTwoLosses(CrashRecord empty) {
        return empty.withLoss(loss(1, -500)).withLoss(loss(2, -100));
    }

    private static Loss loss(int server, long endedMs) {
        return new Loss(ServerIncarnation.of(EngineId.of("i-" + server), 7), endedMs - 90, endedMs);
    }

    /** Messages between routers. */
    @Nested
    class Updates {
        private CrashUpdate decode(MessageBufferPacker packer) throws IOException {
            return CrashUpdate.codec(TYPE)
                    .decode(MessagePack.newDefaultUnpacker(packer.toByteArray()));
        }

        @Test
        void surviveTheWire() throws IOException {
            CrashRecord part = recordWithTwoLosses(CrashRecord.ofPart(PART)).withSuccess(-300);
            CrashRecord whole = recordWithTwoLosses(CrashRecord.of(ContentId.of("whole")));
            CrashUpdate update =
                    new CrashUpdate(
                            List.of(
                                    new ContentUpdate(part, true),
                                    new ContentUpdate(whole, false)));
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                CrashUpdate.codec(TYPE).encode(update, packer);
                assertEquals(update, decode(packer));
            }
        }

        /** Guards against a link that closes because the other router runs an older version. */
        @Test
        void ofOlderRoutersAreRead() throws IOException {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packArrayHeader(1).packArrayHeader(1).packArrayHeader(4);
                packer.packString("whole").packArrayHeader(0).packArrayHeader(0).packBoolean(true);
                ContentUpdate expected =
                        new ContentUpdate(CrashRecord.of(ContentId.of("whole")), true);
                assertEquals(new CrashUpdate(List.of(expected)), decode(packer));
            }
        }
    }

    /** Rows of the store. */
    @Nested
    class Rows {
        private final MemoryTable table = new MemoryTable();
        private final ManualClock clock = ManualClock.startingAt(1_000_000);
        private final ScheduledExecutorService control =
                Executors.newSingleThreadScheduledExecutor();
        private final QuarantineStore store = new QuarantineStore(table, control, clock, 3_600_000);

        @AfterEach
        void stop() {
            control.shutdownNow();
        }

        private ImmutableList<CrashRecord> load() throws Exception {
            List<CrashRecord> records = new ArrayList<>();
            store.load(records::add);
            awaitControl();
            assertTrue(store.isLoaded());
            return ImmutableList.copyOf(records);
        }

        /** Waits for two rounds: a result of the table is handled in a task of its own. */
        private void awaitControl() throws ExecutionException, InterruptedException {
            control.submit(() -> {}).get();
            control.submit(() -> {}).get();
        }

        @Test
        void keepThatARecordIsOfAPart() throws Exception {
            CrashRecord record = recordWithTwoLosses(CrashRecord.ofPart(PART)).shifted(1_000_000);
            store.save(record);
            awaitControl();
            assertEquals(ImmutableList.of(record), load());
        }

        /** Guards against contents that are forgotten with the first start of this version. */
        @Test
        void withoutAMarkAreOfWholeContents() throws Exception {
            String old = clock.wallMs() + " i-1,7,-590,-500 i-2,7,-190,-100";
            RowKey key = RowKey.of("quarantine", "whole");
            table.apply(Transaction.builder().put(key, old).build());
            CrashRecord whole = CrashRecord.of(ContentId.of("whole"));
            assertEquals(
                    ImmutableList.of(recordWithTwoLosses(whole).shifted(clock.nowMs())), load());
        }

        /** Guards against one unknown row that keeps a router from its start. */
        @Test
        void thatAreNotUnderstoodAreSkipped() throws Exception {
            RowKey key = RowKey.of("quarantine", "whole");
            table.apply(Transaction.builder().put(key, clock.wallMs() + " later,mark").build());
            assertEquals(ImmutableList.of(), load());
        }
    }
}
