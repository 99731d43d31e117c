package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.generation.Frame;
import org.masticweir.http.AnswerLimitException;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.PartialMessage;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/**
 * Cuts an engine's byte stream into lines and reads each as a frame; not thread-safe.
 *
 * <p>Lines are limited to {@link #MAX_LINE_BYTES}, and long lines of all readers share a pool, so
 * that faulty engines don't exhaust the memory. The empty lines between two frames are limited too,
 * so that a stream doesn't stay open without a frame for as long as they come.
 */
final class FrameReader implements AutoCloseable {
    static final int MAX_LINE_BYTES = 1 << 20;
    static final int MAX_EMPTY_LINES = 1_024;

    private static final JsonFactory JSON = new JsonFactory();

    private final PartialMessage line;
    private int emptyLines;
    private Optional<AttemptId> lastAttempt = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param pool memory that long lines share
     */
    FrameReader(AnswerPool pool) {
        line = new PartialMessage(MAX_LINE_BYTES, pool);
    }

    /**
     * Takes the bytes of {@code in} and gives every frame that is complete to {@code out}.
     *
     * <p>Frames of consecutive tokens of one attempt that came together are given as one: a router
     * that lags behind its engines then spends less on each token, and catches up. Nothing waits
     * for it, as all that came is given before this returns.
     */
    void read(ByteBuffer in, Consumer<Frame> out) throws IOException {
        checkNotNull(out, "out");
        TokenRun run = new TokenRun(out);
        try {
            while (in.hasRemaining()) {
                takePart(in, run);
            }
        } finally {
            // Also before a malformed line: the tokens ahead of it are good.
            run.flush();
        }
    }

    /** Takes the bytes up to the end of the line, or all when it has not come yet. */
    private void takePart(ByteBuffer in, TokenRun run) throws IOException {
        int start = in.position();
        int end = start;
        while (end < in.limit() && in.get(end) != '\n') {
            end++;
        }
        line.append(in, end - start);
        if (in.hasRemaining()) {
            in.get();
            endLine(run);
        }
    }

    /** Gives the memory of a long line back to the pool. */
    @Override
    public void close() {
        line.close();
    }

    private void endLine(TokenRun run) throws IOException {
        if (line.length() == 0) {
            countEmptyLine();
            return;
        }
        emptyLines = 0;
        Frame frame = parse();
        line.clear();
        run.add(frame);
    }

    private void countEmptyLine() throws IOException {
        emptyLines++;
        if (emptyLines > MAX_EMPTY_LINES) {
            throw new AnswerLimitException("more than " + MAX_EMPTY_LINES + " empty lines");
        }
    }

    private Frame parse() throws IOException {
        Fields fields = new Fields();
        try (JsonParser parser = JSON.createParser(line.array(), 0, line.length())) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                fields.take(name, parser);
            }
        }
        try {
            AttemptId attempt = attemptOf(fields);
            return fields.toFrame(attempt);
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new IOException("engine frame is malformed", e);
        }
    }

    /** Returns the frame's attempt, which nearly always is that of the frame before it. */
    private AttemptId attemptOf(Fields fields) {
        Optional<AttemptId> same = lastAttempt.filter(fields::isOf);
        if (same.isEmpty()) {
            GenerationId id = GenerationId.of(RequestId.of(fields.request), fields.generation);
            lastAttempt = Optional.of(AttemptId.of(id, fields.attempt));
        }
        return lastAttempt.get();
    }

    /** Frames on their way out, of which consecutive tokens become one. */
    private static final class TokenRun {
        private final Consumer<Frame> out;
        private Optional<Frame.Tokens> first = Optional.empty();
        private ImmutableIntArray.Builder more = ImmutableIntArray.builder();
        private int next;

        TokenRun(Consumer<Frame> out) {
            this.out = out;
        }

        void add(Frame frame) {
            if (!(frame instanceof Frame.Tokens tokens)) {
                flush();
                out.accept(frame);
                return;
            }
            if (!goesOnWith(tokens)) {
                flush();
                first = Optional.of(tokens);
                next = tokens.index();
            }
            next += tokens.tokens().length();
            more.addAll(tokens.tokens());
        }

        private boolean goesOnWith(Frame.Tokens tokens) {
            return first.isPresent()
                    && tokens.index() == next
                    && tokens.attempt().equals(first.get().attempt());
        }

        void flush() {
            if (first.isEmpty()) {
                return;
            }
            Frame.Tokens head = first.get();
            first = Optional.empty();
            ImmutableIntArray all = more.build();
            more = ImmutableIntArray.builder();
            out.accept(new Frame.Tokens(head.attempt(), head.index(), all));
        }
    }

    /** The fields of one frame as they are read. */
    private static final class Fields {
        private String type = "";
        private String request = "";
        private int generation;
        private int attempt;
        private int index;
        private ImmutableIntArray tokens = ImmutableIntArray.of();

        void take(String name, JsonParser parser) throws IOException {
            switch (name) {
                case "type" -> type = parser.getText();
                case "request" -> request = parser.getText();
                case "generation" -> generation = parser.getIntValue();
                case "attempt" -> attempt = parser.getIntValue();
                case "index", "first" -> index = parser.getIntValue();
                case "tokens" -> tokens = readTokens(parser);
                default -> parser.skipChildren();
            }
        }

        boolean isOf(AttemptId known) {
            return attempt == known.number()
                    && generation == known.generation().number()
                    && request.equals(known.generation().request().value());
        }

        Frame toFrame(AttemptId of) throws IOException {
            return switch (type) {
                case "start" -> new Frame.Start(of, index);
                case "tokens" -> new Frame.Tokens(of, index, tokens);
                case "end" -> new Frame.End(of, index);
                default -> throw new IOException("engine frame of unknown type");
            };
        }

        private static ImmutableIntArray readTokens(JsonParser parser) throws IOException {
            ImmutableIntArray.Builder builder = ImmutableIntArray.builder(4);
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                builder.add(parser.getIntValue());
            }
            return builder.build();
        }
    }
}
