package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticweir.http.AnswerPool;

/** Tests that the splitter passes on only complete events. */
class EventSplitterTest {
    private static final String THREE_EVENTS =
            "id: 7\ndata: a\n\nx-version: 2\nid: 8\r\ndata: b\r\n\r\ndata: no id\n\n";

    private static final int POOL_BYTES = 4 << 20;

    private final AnswerPool pool = AnswerPool.of(POOL_BYTES);
    private final List<String> events = new ArrayList<>();
    private final List<OptionalLong> ids = new ArrayList<>();

    private EventSplitter split(String text, int step) throws IOException {
        EventSplitter splitter = new EventSplitter(pool);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += step) {
            ByteBuffer part = ByteBuffer.wrap(bytes, i, Math.min(step, bytes.length - i));
            splitter.feed(
                    part,
                    (event, id) -> {
                        events.add(StandardCharsets.UTF_8.decode(event).toString());
                        ids.add(id);
                    });
        }
        return splitter;
    }

    /** The division of the bytes in transit does not change the events. */
    @Property
    void emitsTheSameEventsHoweverTheBytesAreDivided(@ForAll @IntRange(min = 1, max = 80) int step)
            throws IOException {
        events.clear();
        ids.clear();
        EventSplitter splitter = split(THREE_EVENTS, step);
        assertEquals(THREE_EVENTS, String.join("", events));
        assertEquals(List.of(OptionalLong.of(7), OptionalLong.of(8), OptionalLong.empty()), ids);
        assertTrue(splitter.isAtEventEnd());
    }

    /**
     * Guards against a duplicate half sentence in a report. A server stopped in the middle of an
     * event, the partial event was passed on, and the next server sent the whole event.
     */
    @Test
    void doesNotPassOnAnIncompleteEvent() throws IOException {
        EventSplitter splitter = split("id: 1\ndata: a\n\nid: 2\ndata: ha", 5);
        assertEquals(1, events.size());
        assertFalse(splitter.isAtEventEnd());
    }

    @Test
    void rejectsAnEventThatIsTooLong() {
        assertThrows(
                IOException.class,
                () -> split("x".repeat(EventSplitter.MAX_EVENT_BYTES + 1), 4096));
    }

    /** Guards against a faulty server that occupies the traffic thread with empty lines. */
    @Test
    void passesOnFewEventsAtOnce() throws IOException {
        EventSplitter splitter = new EventSplitter(pool);
        ByteBuffer lines = ByteBuffer.wrap(new byte[2 * EventSplitter.MAX_EVENTS]);
        Arrays.fill(lines.array(), (byte) '\n');
        splitter.feed(lines, (event, id) -> ids.add(id));
        assertEquals(EventSplitter.MAX_EVENTS, ids.size());
        splitter.feed(lines, (event, id) -> ids.add(id));
        assertEquals(2 * EventSplitter.MAX_EVENTS, ids.size());
        assertFalse(lines.hasRemaining());
    }

    /** Guards against many events without an end that exhaust the memory together. */
    @Test
    void longEventsShareAPool() throws IOException {
        List<EventSplitter> endless = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            EventSplitter splitter = new EventSplitter(pool);
            endless.add(splitter);
            ByteBuffer part = ByteBuffer.wrap(new byte[EventSplitter.MAX_EVENT_BYTES]);
            if (pool.freeBytes() < EventSplitter.MAX_EVENT_BYTES) {
                assertThrows(IOException.class, () -> splitter.feed(part, (event, id) -> {}));
            } else {
                splitter.feed(part, (event, id) -> {});
            }
        }
        split(THREE_EVENTS, 1);
        assertEquals(3, events.size());
        endless.forEach(EventSplitter::close);
        assertEquals(POOL_BYTES, pool.freeBytes());
    }
}
