package org.masticweir.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Strings;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.generation.Frame;
import org.masticweir.http.AnswerPool;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/** Tests {@link FrameReader}. */
final class FrameReaderTest {
    private static final int POOL_BYTES = 4 << 20;

    private final AnswerPool pool = AnswerPool.of(POOL_BYTES);
    private final FrameReader reader = new FrameReader(pool);
    private final List<Frame> frames = new ArrayList<>();

    private static String tokens(int attempt, int index, String tokens) {
        return "{\"type\":\"tokens\",\"request\":\"r1\",\"generation\":1,\"attempt\":%d,\"index\":%d,\"tokens\":[%s]}\n"
                .formatted(attempt, index, tokens);
    }

    private static String end(int index) {
        return "{\"type\":\"end\",\"request\":\"r1\",\"generation\":1,\"attempt\":1,\"index\":%d}\n"
                .formatted(index);
    }

    private static AttemptId attempt(int number) {
        return AttemptId.of(GenerationId.of(RequestId.of("r1"), 1), number);
    }

    private static Frame read(int attempt, int index, int... tokens) {
        return new Frame.Tokens(attempt(attempt), index, ImmutableIntArray.copyOf(tokens));
    }

    private void read(String text) throws IOException {
        reader.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), frames::add);
    }

    /** Tokens that arrive in one read. */
    @Nested
    final class Together {
        @Test
        void consecutiveTokensAreOneFrame() throws IOException {
            read(tokens(1, 4, "9") + tokens(1, 5, "8,7") + end(7));
            assertEquals(List.of(read(1, 4, 9, 8, 7), new Frame.End(attempt(1), 7)), frames);
        }

        @Test
        void tokensThatCameAreNotHeldForMore() throws IOException {
            read(tokens(1, 0, "9") + tokens(1, 1, "8").substring(0, 20));
            assertEquals(List.of(read(1, 0, 9)), frames);
            read(tokens(1, 1, "8").substring(20));
            assertEquals(List.of(read(1, 0, 9), read(1, 1, 8)), frames);
        }

        /**
         * An engine that was paused sends frames of an attempt that was moved, between those that
         * count. Made one with them, they would reach the caller under the newer attempt.
         */
        @Test
        void anotherAttemptsTokensStayApart() throws IOException {
            read(tokens(2, 0, "9") + tokens(1, 1, "66") + tokens(2, 1, "8"));
            assertEquals(List.of(read(2, 0, 9), read(1, 1, 66), read(2, 1, 8)), frames);
        }

        @Test
        void gapsAndRepeatsStayToBeSeen() throws IOException {
            read(tokens(1, 0, "9") + tokens(1, 2, "7") + tokens(1, 2, "7"));
            assertEquals(List.of(read(1, 0, 9), read(1, 2, 7), read(1, 2, 7)), frames);
        }
    }

    /** Streams that break. */
    @Nested
    final class Broken {
        /**
         * An engine dies while it writes: a caller sees all tokens that came whole, then the same
         * answer going on elsewhere. The last line is cut anywhere, or followed by rubbish.
         */
        @Test
        void tokensAheadOfTheCutAreGiven() throws IOException {
            read(tokens(1, 0, "9") + tokens(1, 1, "8") + tokens(1, 2, "7").substring(0, 30));
            assertEquals(List.of(read(1, 0, 9, 8)), frames);
        }

        @Test
        void tokensAheadOfAMalformedLineAreGiven() {
            String text = tokens(1, 0, "9") + tokens(1, 1, "8") + "{\"type\":\"tok\n";
            assertThrows(IOException.class, () -> read(text));
            assertEquals(List.of(read(1, 0, 9, 8)), frames);
        }

        @Test
        void lineOverTheBoundIsRefused() throws IOException {
            read(Strings.repeat(" ", FrameReader.MAX_LINE_BYTES));
            assertThrows(IOException.class, () -> read(" "));
        }

        @Test
        void emptyLinesOverTheBoundAreRefused() throws IOException {
            read(Strings.repeat("\n", FrameReader.MAX_EMPTY_LINES));
            assertThrows(IOException.class, () -> read("\n"));
        }

        @Test
        void emptyLinesAreCountedAnewAfterEachFrame() throws IOException {
            for (int i = 0; i < 3; i++) {
                read(Strings.repeat("\n", FrameReader.MAX_EMPTY_LINES) + tokens(1, i, "9"));
            }
            assertEquals(3, frames.size());
        }

        /** Failure: many lines without an end exhaust the memory together. */
        @Test
        void longLinesShareAPool() throws IOException {
            List<FrameReader> readers = new ArrayList<>();
            ByteBuffer line = ByteBuffer.allocate(FrameReader.MAX_LINE_BYTES);
            for (int i = 0; i < POOL_BYTES / FrameReader.MAX_LINE_BYTES; i++) {
                readers.add(new FrameReader(pool));
                readers.get(i).read(line.duplicate(), frames::add);
            }
            assertThrows(IOException.class, () -> reader.read(line.duplicate(), frames::add));
            readers.forEach(FrameReader::close);
            reader.close();
            assertEquals(POOL_BYTES, pool.freeBytes());
        }
    }

    @Test
    void cutsOfTheBytesChangeNothing() throws IOException {
        String text = tokens(1, 0, "11") + tokens(1, 1, "12,13") + end(3);
        for (int cut = 1; cut < text.length(); cut++) {
            frames.clear();
            read(text.substring(0, cut));
            read(text.substring(cut));
            ImmutableIntArray.Builder all = ImmutableIntArray.builder();
            frames.stream()
                    .filter(Frame.Tokens.class::isInstance)
                    .forEach(f -> all.addAll(((Frame.Tokens) f).tokens()));
            assertEquals(ImmutableIntArray.of(11, 12, 13), all.build(), "cut at " + cut);
            assertEquals(new Frame.End(attempt(1), 3), frames.get(frames.size() - 1));
        }
    }
}
