package org.masticweir.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how the program treats its arguments. */
class StandInsTest {
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return StandIns.run(args, new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private void assertRefused(String reason, String... args) {
        assertEquals(2, run(args));
        String text = err.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.contains(reason), text);
    }

    /** Arguments that end in one sentence and status 2. */
    @Nested
    class Refusing {
        @Test
        void noCommand() {
            assertRefused("[engine, service, platform, proxy]");
        }

        @Test
        void badAddress() {
            assertRefused("ip:port", "engine", "--id", "e1", "--listen", "here");
        }

        @Test
        void missingPort() {
            assertRefused("ip:port", "engine", "--id", "e1", "--listen", "127.0.0.1");
        }

        @Test
        void unknownVendor() {
            assertRefused(
                    "vendor",
                    "engine",
                    "--id",
                    "e1",
                    "--listen",
                    "127.0.0.1:0",
                    "--vendor",
                    "sums");
        }

        @Test
        void portInUse() throws IOException {
            try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                String address = "127.0.0.1:" + taken.getLocalPort();
                assertRefused("cannot listen", "service", "--id", "s1", "--listen", address);
            }
        }
    }
}
