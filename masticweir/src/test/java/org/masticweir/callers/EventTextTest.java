package org.masticweir.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the events that callers read. */
final class EventTextTest {
    private static String text(byte[] event) {
        return new String(event, StandardCharsets.UTF_8);
    }

    @Test
    void endOfAModelsAnswerCountsItsTokens() {
        assertEquals(
                "event: end\n"
                        + "data: {\"verdict\":\"COMPLETED\",\"generation\":7,\"tokens\":3}\n\n",
                text(EventText.end(7, 3, "")));
    }

    /**
     * A caller of a plain service that left {@code stream} at its default was told COMPLETED and
     * given no answer: the end event carried a count of tokens only.
     */
    @Test
    void endOfAServicesAnswerCarriesItsText() {
        assertEquals(
                "event: end\ndata: {\"verdict\":\"COMPLETED\",\"result\":\"caf\u00e9 \\\"1\\\"\"}\n\n",
                text(EventText.end(7, 0, "caf\u00e9 \"1\"")));
    }
}
