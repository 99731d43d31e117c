package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;

/**
 * Cuts an engine's byte stream into lines and reads each as a frame; not thread-safe.
 *
 * <p>Lines are bounded, so that a broken engine cannot make a router keep more than {@link
 * #MAX_LINE_BYTES}.
 */
final class FrameReader {
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final int FIRST_LINE_BYTES = 512;
    private static final JsonFactory JSON = new JsonFactory();

    private byte[] line = new byte[FIRST_LINE_BYTES];
    private int length;

    /** Takes the bytes of {@code in} and gives every frame that is complete to {@code out}. */
    void read(ByteBuffer in, Consumer<Frame> out) throws IOException {
        checkNotNull(out, "out");
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                endLine(out);
            } else {
                append(b);
            }
        }
    }

    private void append(byte b) throws IOException {
        if (length == line.length) {
            if (length >= MAX_LINE_BYTES) {
                throw new IOException("engine line longer than " + MAX_LINE_BYTES + " bytes");
            }
            line = Arrays.copyOf(line, length * 2);
        }
        line[length++] = b;
    }

    private void endLine(Consumer<Frame> out) throws IOException {
        int bytes = length;
        length = 0;
        if (bytes > 0) {
            out.accept(parse(bytes));
        }
    }

    private Frame parse(int bytes) throws IOException {
        Fields fields = new Fields();
        try (JsonParser parser = JSON.createParser(line, 0, bytes)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                fields.take(name, parser);
            }
        }
        try {
            return fields.toFrame();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new IOException("engine frame is malformed", e);
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

        Frame toFrame() throws IOException {
            GenerationId id = GenerationId.of(RequestId.of(request), generation);
            AttemptId of = AttemptId.of(id, attempt);
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
