package org.masticweir.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against many answers without an end that exhaust the memory together. */
class AnswerBufferTest {
    private static final int MAX_BYTES = 8 << 20;
    private static final int POOL_BYTES = 4 << 20;
    private static final int BLOCK_BYTES = 16 << 10;
    private static final int SHORT_BLOCKS = AnswerBuffer.SHORT_ANSWER_BYTES / BLOCK_BYTES;

    private final AnswerPool pool = AnswerPool.of(POOL_BYTES);

    private static void append(AnswerBuffer buffer, int blocks) throws IOException {
        for (int i = 0; i < blocks; i++) {
            buffer.append(ByteBuffer.wrap(new byte[BLOCK_BYTES]));
        }
    }

    private static int fill(AnswerBuffer buffer) {
        int blocks = 0;
        try {
            while (true) {
                append(buffer, 1);
                blocks++;
            }
        } catch (IOException e) {
            return blocks;
        }
    }

    @Test
    void returnsWhatWasAppended() throws IOException {
        try (AnswerBuffer buffer = new AnswerBuffer(10, pool)) {
            buffer.append(ByteBuffer.wrap(new byte[] {1, 2}));
            buffer.append(ByteBuffer.wrap(new byte[] {3}));
            assertArrayEquals(new byte[] {1, 2, 3}, buffer.toByteArray());
        }
    }

    @Test
    void refusesABodyThatIsTooLong() {
        try (AnswerBuffer buffer = new AnswerBuffer(BLOCK_BYTES, pool)) {
            assertThrows(IOException.class, () -> append(buffer, 2));
        }
    }

    @Test
    void boundsAllTogetherAndLeavesRoomForShortAnswers() throws IOException {
        List<AnswerBuffer> endless = new ArrayList<>();
        long held = 0;
        for (int i = 0; i < 200; i++) {
            AnswerBuffer buffer = new AnswerBuffer(MAX_BYTES, pool);
            endless.add(buffer);
            held += (long) fill(buffer) * BLOCK_BYTES;
        }
        assertEquals(200L * AnswerBuffer.SHORT_ANSWER_BYTES + POOL_BYTES, held);
        try (AnswerBuffer sound = new AnswerBuffer(MAX_BYTES, pool)) {
            append(sound, SHORT_BLOCKS);
        }
        endless.forEach(AnswerBuffer::close);
        assertEquals(POOL_BYTES, pool.freeBytes());
    }

    /**
     * Failure: a closed buffer whose exchange is still referenced keeps memory that is not counted.
     */
    @Test
    void closedBufferKeepsNoMemory() {
        List<AnswerBuffer> closed = new ArrayList<>();
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        memory.gc();
        long before = memory.getHeapMemoryUsage().getUsed();
        for (int i = 0; i < 30; i++) {
            AnswerBuffer buffer = new AnswerBuffer(MAX_BYTES, pool);
            closed.add(buffer);
            fill(buffer);
            buffer.close();
        }
        memory.gc();
        long kept = memory.getHeapMemoryUsage().getUsed() - before;
        assertTrue(kept <= POOL_BYTES, kept + " bytes of " + closed.size() + " buffers kept");
    }
}
