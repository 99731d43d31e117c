package org.masticweir.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests the limits of a message and of all messages together. */
class PartialMessageTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final int POOL_BYTES = 2 << 20;

    private final AnswerPool pool = AnswerPool.of(POOL_BYTES);
    private final PartialMessage message = new PartialMessage(MAX_BYTES, pool);

    private static ByteBuffer bytes(int count) {
        return ByteBuffer.allocate(count);
    }

    @Test
    void keepsTheBytesInOrder() throws IOException {
        message.append((byte) 1);
        message.append(ByteBuffer.wrap(new byte[] {2, 3, 4}), 2);
        byte[] kept = Arrays.copyOf(message.array(), message.length());
        assertArrayEquals(new byte[] {1, 2, 3}, kept);
    }

    @Test
    void takesTheLongestMessageAndNoByteMore() throws IOException {
        message.append(bytes(MAX_BYTES), MAX_BYTES);
        assertThrows(AnswerLimitException.class, () -> message.append((byte) 1));
    }

    @Test
    void shortMessageTakesNothingFromThePool() throws IOException {
        PartialMessage withoutPool = new PartialMessage(MAX_BYTES, AnswerPool.of(0));
        int count = PartialMessage.SHORT_MESSAGE_BYTES;
        withoutPool.append(bytes(count), count);
        assertThrows(AnswerLimitException.class, () -> withoutPool.append((byte) 1));
    }

    @Test
    void nextMessageGivesTheMemoryBack() throws IOException {
        message.append(bytes(MAX_BYTES), MAX_BYTES);
        assertEquals(POOL_BYTES - MAX_BYTES, pool.freeBytes());
        message.clear();
        assertEquals(POOL_BYTES, pool.freeBytes());
        assertEquals(0, message.length());
    }

    /** Failure: each of many long messages keeps what one may, and the memory ends. */
    @Test
    void longMessagesTakeNoMoreThanThePool() throws IOException {
        for (int i = 0; i < POOL_BYTES / MAX_BYTES; i++) {
            new PartialMessage(MAX_BYTES, pool).append(bytes(MAX_BYTES), MAX_BYTES);
        }
        assertThrows(AnswerLimitException.class, () -> message.append(bytes(MAX_BYTES), MAX_BYTES));
    }
}
