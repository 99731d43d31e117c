package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticweir.error.MasticweirException;

/** Valid settings of a router, and the error messages for invalid ones. */
class RelaySettingsTest {
    private static RelaySettings parse(String share, String allowance, String graceS) {
        return parse(share, allowance, graceS, "");
    }

    private static RelaySettings parse(
            String share, String allowance, String graceS, String storeLine) {
        return RelaySettings.parse(
                "router.ini",
                "[router]\nid = r1\ndomain = d1\n[callers]\naddress = 127.0.0.1:1\n"
                        + "[balancer]\naddress = 127.0.0.1:2\n[peers]\naddress = 127.0.0.1:3\n"
                        + "[metrics]\naddress = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n"
                        + storeLine
                        + "[retries]\nshare = "
                        + share
                        + "\nallowance = "
                        + allowance
                        + "\n[shutdown]\ngrace_s = "
                        + graceS
                        + "\n");
    }

    /**
     * A platform that scales retry budgets writes an allowance with a fraction. Routers rejected it
     * as invalid and ended at each start, so no caller was served.
     */
    @Nested
    class Numbers {
        @ParameterizedTest
        @CsvSource({"0, 0", "150, 150", "24.193548387096776, 24.193548387096776", "1e3, 1000"})
        void allowanceMayHaveAFraction(String text, double expected) {
            assertEquals(expected, parse("0.8", text, "8").retryAllowance());
        }

        @ParameterizedTest
        @CsvSource({"0, 0", "1, 1", "0.8, 0.8", "10, 10"})
        void shareMayHaveAFraction(String text, double expected) {
            assertEquals(expected, parse(text, "150", "8").retryRatio());
        }

        @ParameterizedTest
        @CsvSource({"0, 0", "8, 8000", "7.5, 7500", "0.0004, 0", "600, 600000"})
        void graceMayHaveAFraction(String text, long expectedMs) {
            assertEquals(expectedMs, parse("0.8", "150", text).graceMs());
        }

        @ParameterizedTest
        @CsvSource({"'', 2000", "change_bound_ms = 4000, 4000", "change_bound_ms = 2500.5, 2501"})
        void changeBoundMayHaveAFractionOrBeAbsent(String line, long expectedMs) {
            assertEquals(expectedMs, parse("0.8", "150", "8", line + "\n").changeBoundMs());
        }

        @ParameterizedTest
        @CsvSource({"-1", "60001", "soon"})
        void invalidChangeBoundIsReportedWithTheValidRange(String text) {
            assertProblem(
                    "[store] change_bound_ms",
                    "from 200.0 to 60000.0",
                    () -> parse("0.8", "150", "8", "change_bound_ms = " + text + "\n"));
        }

        @ParameterizedTest
        @CsvSource({"-1", "-0.5", "1000000.5", "Infinity", "NaN", "many", "''"})
        void invalidAllowanceIsReportedWithTheValidRange(String text) {
            assertProblem(
                    "[retries] allowance", "from 0.0 to 1000000.0", () -> parse("0.8", text, "8"));
        }

        @ParameterizedTest
        @CsvSource({"-0.1", "10.1", "Infinity", "NaN", "most", "''"})
        void invalidShareIsReportedWithTheValidRange(String text) {
            assertProblem("[retries] share", "from 0.0 to 10.0", () -> parse(text, "150", "8"));
        }

        @ParameterizedTest
        @CsvSource({"-1", "600.5", "Infinity", "NaN", "soon", "''"})
        void invalidGraceIsReportedWithTheValidRange(String text) {
            assertProblem(
                    "[shutdown] grace_s", "from 0.0 to 600.0", () -> parse("0.8", "150", text));
        }

        private void assertProblem(String key, String allowed, Runnable reading) {
            MasticweirException e = assertThrows(MasticweirException.class, reading::run);
            assertTrue(e.getMessage().contains(key), e.getMessage());
            assertTrue(e.getMessage().contains(allowed), e.getMessage());
        }
    }

    @Test
    void theLogLevelIsOptional() {
        assertEquals("INFO", parse("0.8", "150", "8").logLevel().name());
    }

    /**
     * Guards against a router that does not start because of what its machine or zone is called.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Ferrara Nord, 1\u00b0", "_x", "a@b/c", "\u6771\u4eac", "${zone}"})
    void namesMayHaveAnyCharacters(String name) {
        RelaySettings settings =
                RelaySettings.parse(
                        "router.ini",
                        "[router]\nid = "
                                + name
                                + "\ndomain = "
                                + name
                                + "\n[callers]\naddress = 127.0.0.1:1\n[balancer]\n"
                                + "address = 127.0.0.1:2\n[peers]\naddress = 127.0.0.1:3\n"
                                + "[metrics]\naddress = 127.0.0.1:4\n[store]\n"
                                + "address = 127.0.0.1:5\n[retries]\nshare = 0.8\n"
                                + "allowance = 150\n[shutdown]\ngrace_s = 8\n");
        assertEquals(name, settings.router().value());
        assertEquals(name, settings.domain().value());
    }

    /** Where other routers request tunnels. */
    @Nested
    class TunnelAddress {
        private RelaySettings parse(String peers) {
            return RelaySettings.parse(
                    "router.ini",
                    "[router]\nid = r1\ndomain = d1\n[callers]\naddress = 127.0.0.1:1\n"
                            + "[balancer]\naddress = 127.0.0.1:2\n[peers]\n"
                            + peers
                            + "\n[metrics]\naddress = 127.0.0.1:4\n[store]\n"
                            + "address = 127.0.0.1:5\n[retries]\nshare = 0.8\n"
                            + "allowance = 150\n[shutdown]\ngrace_s = 8\n");
        }

        @Test
        void isThePortAfterThatOfThePeers() {
            assertEquals(7, parse("address = 127.0.0.1:6").tunnels().getPort());
        }

        @Test
        void mayBeGiven() {
            RelaySettings settings = parse("address = 127.0.0.1:6\ntunnel_address = 127.0.0.1:9");
            assertEquals(9, settings.tunnels().getPort());
        }

        @Test
        void mustBeGivenIfNoPortFollows() {
            MasticweirException e =
                    assertThrows(
                            MasticweirException.class, () -> parse("address = 127.0.0.1:65535"));
            assertTrue(e.getMessage().contains("tunnel_address"), e.getMessage());
        }
    }
}
