package org.masticweir.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RouterId;

/** A daemon's settings file, its faults and the printed reference. */
class DaemonSettingsTest {
    private static final String LEAST =
            String.join(
                    "\n",
                    "[router]",
                    "id = r1",
                    "domain = north",
                    "caller_address = 127.0.0.1:7080",
                    "operator_address = 127.0.0.1:7081",
                    "peer_address = [::1]:7082",
                    "[platform]",
                    "address = 127.0.0.1:7090",
                    "");

    private static List<String> problems(String text) {
        return DaemonSettings.check("r.ini", text).sentences();
    }

    /** Files that are accepted. */
    @Nested
    class Valid {
        @Test
        void whatIsLeftOutHasItsDefault() {
            DaemonSettings read = DaemonSettings.parse("r.ini", LEAST);
            assertEquals(RouterId.of("r1"), read.router().id());
            assertEquals(2, read.router().ioThreads());
            assertEquals(800, read.platform().deadlineMs());
            assertEquals(LogLayout.TEXT, read.log().layout());
            assertEquals(1_048_576, read.callers().maxBodyBytes());
            assertEquals(2000, read.shutdown().balancerLagMs());
            assertEquals(1_800_000, read.control().unloadAfterMs());
            assertEquals(120_000, read.control().loadTimeoutMs());
            assertEquals(read.router().peerAddress(), read.router().advertisedPeerAddress());
        }

        @Test
        void whatIsGivenIsRead() {
            String given =
                    LEAST.replace("127.0.0.1:7080", "10.0.0.2:2")
                                    .replace(
                                            "[platform]",
                                            "advertised_peer_address = 10.0.0.2:4\n[platform]")
                            + "[shutdown]\ndrain_ms = 7000\n[log]\nlayout = json";
            DaemonSettings read = DaemonSettings.parse("r.ini", given);
            assertEquals(new InetSocketAddress("10.0.0.2", 2), read.router().callerAddress());
            assertEquals(
                    new InetSocketAddress("10.0.0.2", 4), read.router().advertisedPeerAddress());
            assertEquals(7000, read.shutdown().drainMs());
            assertEquals(LogLayout.JSON, read.log().layout());
        }
    }

    /** Files with one fault each: one sentence tells it. */
    @Nested
    class Invalid {
        private void assertTold(String part, String text) {
            List<String> found = problems(text);
            assertEquals(1, found.size(), found.toString());
            assertTrue(found.get(0).contains(part), found.get(0));
        }

        @Test
        void silencesThatContradictEachOther() {
            String peers = LEAST + "[peers]\nheartbeat_ms = 800\n";
            assertTold("suspect_ms is missing", peers);
            assertTold("above 2 times heartbeat_ms, 1600", peers);
            assertTold("silence_start_ms", LEAST + "[recovery]\nsilence_floor_ms = 3000");
        }

        @Test
        void unknownKeyUnitSectionAndValue() {
            assertTold("deadline_s = \"1\" is not allowed", LEAST + "deadline_s = 1");
            assertTold("[platform] deadline_ms = \"1s\"", LEAST + "deadline_ms = 1s");
            assertTold("section [plattform] is not allowed", LEAST + "[plattform]");
            assertTold("one of text, json", LEAST + "[log]\nlayout = xml");
            assertTold("io_threads = \"65\"", LEAST.replace("id = r1", "id = r1\nio_threads = 65"));
        }

        @Test
        void missingValueAndHostName() {
            assertTold("[router] id is missing", LEAST.replace("id = r1\n", ""));
            assertTold("\"localhost:7080\"", LEAST.replace("127.0.0.1:7080", "localhost:7080"));
            assertTold(
                    "caller_address = \"127.0.0.1\"", LEAST.replace("127.0.0.1:7080", "127.0.0.1"));
        }

        @Test
        void deathBeforeSuspicion() {
            assertTold("above suspect_ms", LEAST + "[peers]\nsuspect_ms = 1900\ndead_ms = 1800");
        }

        @Test
        void orderIsCheckedAgainstDefaults() {
            assertTold("above suspect_ms, 1500", LEAST + "[peers]\ndead_ms = 1400");
        }

        @Test
        void keysOfLinksThatLackAFile() {
            String store = LEAST + "[security]\npeer_keystore_file = r.p12\n";
            List<String> found = problems(store);
            assertEquals(2, found.size(), found.toString());
            assertTold("peer_trust_file, which is", store + "peer_keystore_password_file = p");
        }

        @Test
        void fileThatIsNotThere() {
            MasticweirException e =
                    assertThrows(
                            MasticweirException.class,
                            () -> DaemonSettings.read(Path.of("no-such-file.ini")));
            assertEquals(ErrorCode.SETTINGS_INVALID, e.code());
            assertFalse(e.getMessage().contains("\n"));
        }
    }

    /** The table of settings itself. */
    @Nested
    class Reference {
        @Test
        void everyDefaultIsAllowedAndEveryRowPrinted() {
            for (Setting<?> row : DaemonSetting.rows()) {
                boolean none = row.required() || row.standard().isEmpty();
                assertTrue(none || row.standardValue().isPresent(), row.key());
            }
            String page = SettingsReference.markdown();
            assertEquals(DaemonSetting.rows().size() + 2, page.lines().count());
            assertTrue(page.contains("| `[log]` | `layout` | `text` | one of text, json |"));
        }
    }
}
