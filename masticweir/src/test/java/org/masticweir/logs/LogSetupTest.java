package org.masticweir.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.OffsetDateTime;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.MasticweirException;

/** The log setup and its two layouts. */
class LogSetupTest {
    private static Layout<?> pattern(LogLayout layout) {
        BuiltConfiguration config = LogSetup.configuration(layout, Level.INFO);
        config.initialize();
        return config.getAppender(LogSetup.APPENDER).getLayout();
    }

    private static LogEvent event(Level level, String message, Throwable thrown) {
        return Log4jLogEvent.newBuilder()
                .setLoggerName("org.masticweir.X")
                .setLevel(level)
                .setMessage(new SimpleMessage(message))
                .setThrown(thrown)
                .setTimeMillis(1_700_000_000_123L)
                .build();
    }

    private static String format(LogLayout layout, String message, Throwable thrown) {
        return pattern(layout).toSerializable(event(Level.WARN, message, thrown)).toString();
    }

    /** The JSON layout. */
    @Nested
    class Json {
        private JsonNode parse(String message, Throwable thrown) throws Exception {
            String line = format(LogLayout.JSON, message, thrown);
            assertEquals(line.length() - 1, line.indexOf('\n'), line);
            return new ObjectMapper().readTree(line);
        }

        @Test
        void fieldsAreThere() throws Exception {
            JsonNode node = parse("routing: engine \"e17\"\nejected", null);
            assertEquals("WARN", node.get("level").asText());
            assertEquals("org.masticweir.X", node.get("logger").asText());
            assertEquals("routing", node.get("part").asText());
            assertEquals("routing: engine \"e17\"\nejected", node.get("message").asText());
            OffsetDateTime.parse(node.get("time").asText());
        }

        @Test
        void exceptionIsCarriedAndPartMayBeMissing() throws Exception {
            JsonNode node = parse("UT005071: no part", new IllegalStateException("inner"));
            assertEquals("", node.path("part").asText());
            assertTrue(node.get("exception").asText().contains("inner"));
        }
    }

    /** The text layout. */
    @Nested
    class Text {
        @Test
        void messageCannotForgeLines() {
            String line = format(LogLayout.TEXT, "callers: a\nb", null);
            assertTrue(line.matches("\\S+Z WARN  callers: a\\\\nb\\R"), line);
        }
    }

    /** The setup of the process. */
    @Nested
    class Setup {
        @AfterEach
        void restore() {
            Configurator.reconfigure();
        }

        @Test
        void librariesAreQuietBelowWarnings() {
            LogSetup.configure(LogLayout.TEXT, Level.INFO);
            assertTrue(LogManager.getLogger("org.masticweir.Y").isInfoEnabled());
            assertFalse(LogManager.getLogger("io.undertow.request").isInfoEnabled());
            assertTrue(LogManager.getLogger("org.xnio").isWarnEnabled());
        }

        @Test
        void layoutIsReadFromItsName() {
            assertEquals(LogLayout.JSON, LogLayout.parse("json"));
            assertThrows(MasticweirException.class, () -> LogLayout.parse("xml"));
        }
    }
}
