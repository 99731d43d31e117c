package org.masticweir.logs;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.util.Strings;

/**
 * The lines of {@link LogLayout#TEXT}, made without the library's patterns; thread-safe.
 *
 * <p>Reading a pattern has the library load each of its plugins, some five hundred classes: a fifth
 * of the processor time up to the open port of a router that starts again.
 */
final class TextLayout extends AbstractStringLayout {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSXXX").withZone(ZoneOffset.UTC);

    private static final int LEVEL_WIDTH = 5;

    TextLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringBuilder line = new StringBuilder();
        TIME.formatTo(Instant.ofEpochMilli(event.getTimeMillis()), line);
        String level = event.getLevel().name();
        line.append(' ').append(level);
        line.append(" ".repeat(Math.max(0, LEVEL_WIDTH - level.length()))).append(' ');
        appendEscaped(line, event.getMessage().getFormattedMessage());
        line.append(Strings.LINE_SEPARATOR);
        if (event.getThrown() != null) {
            StringWriter trace = new StringWriter();
            event.getThrown().printStackTrace(new PrintWriter(trace, true));
            line.append(trace);
        }
        return line.toString();
    }

    /** A caller's text that reaches a message could otherwise forge a line of its own. */
    private static void appendEscaped(StringBuilder line, String message) {
        for (int i = 0; i < message.length(); i++) {
            char c = message.charAt(i);
            switch (c) {
                case '\r' -> line.append("\\r");
                case '\n' -> line.append("\\n");
                default -> line.append(c);
            }
        }
    }
}
