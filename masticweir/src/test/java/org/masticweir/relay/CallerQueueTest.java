package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.http.AnswerPool;

/** What waits for a caller that does not read, and the memory that it takes. */
class CallerQueueTest {
    private static final int POOL_BYTES = 8 << 20;

    private final AnswerPool pool = AnswerPool.of(POOL_BYTES);

    /** Takes a few bytes at a time. */
    private static final class Sink implements WritableByteChannel {
        private final ByteArrayOutputStream taken = new ByteArrayOutputStream();
        private int room;

        @Override
        public int write(ByteBuffer bytes) {
            int count = Math.min(room, bytes.remaining());
            byte[] part = new byte[count];
            bytes.get(part);
            taken.writeBytes(part);
            room -= count;
            return count;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    private static ByteBuffer event(int bytes) {
        return ByteBuffer.wrap(new byte[bytes]);
    }

    /** Adds events of {@code bytes} until there is no room; returns the bytes that wait. */
    private static int fill(CallerQueue queue, int bytes) {
        while (queue.add(event(bytes))) {
            // One more fits.
        }
        return queue.queuedBytes();
    }

    @Property(tries = 200, seed = "5")
    void writesAllBytesInOrder(@ForAll long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        CallerQueue queue = new CallerQueue(AnswerPool.of(POOL_BYTES));
        Sink sink = new Sink();
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        int events = 200;
        for (int i = 0; i < events; i++) {
            byte[] next = new byte[random.nextInt(3) == 0 ? random.nextInt(9_000) : 1];
            random.nextBytes(next);
            expected.writeBytes(next);
            assertTrue(queue.add(ByteBuffer.wrap(next)));
            sink.room = random.nextInt(4_000);
            queue.writeTo(sink);
            assertEquals(expected.size(), sink.taken.size() + queue.queuedBytes());
        }
        sink.room = Integer.MAX_VALUE;
        assertTrue(queue.writeTo(sink));
        assertEquals(
                ByteBuffer.wrap(expected.toByteArray()), ByteBuffer.wrap(sink.taken.toByteArray()));
        assertEquals(events, queue.writtenEvents());
        assertEquals(0, queue.queuedBytes());
    }

    /** The router ended: events of one byte, each with an overhead that was not counted. */
    @Nested
    class ShortEvents {
        @Test
        void takeHardlyMoreMemoryThanTheirBytes() {
            CallerQueue queue = new CallerQueue(pool);
            int queued = fill(queue, 1);
            long memory = POOL_BYTES - pool.freeBytes() + CallerQueue.SHORT_QUEUE_BYTES;
            assertTrue(memory <= CallerQueue.MAX_BYTES, memory + " bytes of memory");
            assertTrue(queued >= memory * 0.99, queued + " bytes wait in " + memory);
        }
    }

    /** The router ended: many callers that do not read, each below the limit of one. */
    @Nested
    class ManySlowCallers {
        @Test
        void shareThePool() {
            List<CallerQueue> queues = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                queues.add(new CallerQueue(pool));
                fill(queues.get(i), 1_000);
            }
            assertTrue(pool.freeBytes() >= 0);
            CallerQueue another = new CallerQueue(pool);
            assertTrue(another.add(event(CallerQueue.SHORT_QUEUE_BYTES)), "a short answer");
            assertFalse(another.add(event(CallerQueue.SHORT_QUEUE_BYTES)), "no memory is left");
            queues.forEach(CallerQueue::close);
            another.close();
            assertEquals(POOL_BYTES, pool.freeBytes());
        }

        @Test
        void giveTheirMemoryBackOnceTheyRead() throws IOException {
            CallerQueue queue = new CallerQueue(pool);
            fill(queue, 1_000);
            Sink sink = new Sink();
            sink.room = Integer.MAX_VALUE;
            assertTrue(queue.writeTo(sink));
            assertEquals(POOL_BYTES, pool.freeBytes());
        }
    }
}
