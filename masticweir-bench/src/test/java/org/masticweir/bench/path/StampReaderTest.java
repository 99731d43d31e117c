package org.masticweir.bench.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tokens found in both kinds of stream, wherever the bytes are cut. */
class StampReaderTest {
    private static final String EVENTS =
            "id: 1:0\ndata: {\"token\":17}\n\nid: 1:1\ndata: {\"token\":9}\n\n"
                    + "event: end\ndata: {\"verdict\":\"COMPLETED\",\"tokens\":2}\n\n";
    private static final String FRAMES =
            "{\"type\":\"tokens\",\"request\":\"4f7a\",\"generation\":1,\"index\":0,"
                    + "\"tokens\":[17,9]}\n{\"type\":\"end\",\"index\":2}\n";

    private static List<Integer> read(String text, int cutAt) {
        List<Integer> tokens = new ArrayList<>();
        StampReader reader = new StampReader(tokens::add);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        reader.bytes(ByteBuffer.wrap(bytes, 0, cutAt));
        reader.bytes(ByteBuffer.wrap(bytes, cutAt, bytes.length - cutAt));
        return tokens;
    }

    @Test
    void eventsAndFramesGiveTheSameTokens() {
        for (int cut = 0; cut < EVENTS.length(); cut++) {
            assertEquals(List.of(17, 9), read(EVENTS, cut));
        }
        for (int cut = 0; cut < FRAMES.length(); cut++) {
            assertEquals(List.of(17, 9), read(FRAMES, cut));
        }
    }
}
