package org.masticweir.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.TeamId;

/** Tests and fuzzes the body that callers send. */
final class SubmitBodyTest {
    private static final TeamId TEAM = TeamId.of("north");
    private static final CallerLimits LIMITS = new CallerLimits(1 << 20, 16_384, 15_000, 4_096);

    private static RequestSpec spec(String json) {
        return SubmitBody.parse(json.getBytes(StandardCharsets.UTF_8)).toSpec(TEAM, LIMITS);
    }

    private static void assertRefused(String json) {
        MasticweirException e = assertThrows(MasticweirException.class, () -> spec(json));
        assertEquals(ErrorCode.BAD_REQUEST, e.code());
        assertEquals(Verdict.NOT_RUN, e.verdict());
    }

    @Test
    void sameKeyOfSameTeamIsTheSameRequest() {
        String json = "{\"class\":\"reports\",\"model\":\"report\",\"idempotency_key\":\"k\"}";
        assertEquals(spec(json).id(), spec(json).id());
    }

    @Test
    void whatIsMissingOrOutOfRangeIsRefused() {
        assertRefused("null");
        assertRefused("{\"model\":\"report\"}");
        assertRefused("{\"class\":\"r\",\"model\":\"m\",\"idempotent\":false}");
        assertRefused("{\"class\":\"r\",\"model\":\"m\",\"max_tokens\":4097}");
        assertRefused("{\"class\":\"r\",\"model\":\"m\"}{}");
    }

    @Property(seed = "7", tries = 2_000)
    void anyBytesAreTakenOrRefusedWithACode(@ForAll byte[] bytes) {
        assertTakenOrRefused(bytes);
    }

    @Property(seed = "7", tries = 2_000)
    void anyFieldsAreTakenOrRefusedWithACode(@ForAll("bodies") String json) {
        assertTakenOrRefused(json.getBytes(StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<String> bodies() {
        Arbitrary<String> names =
                Arbitraries.of(
                        "class",
                        "model",
                        "idempotency_key",
                        "idempotent",
                        "prompt",
                        "input",
                        "max_tokens",
                        "stream",
                        "allow_reset",
                        "other");
        Arbitrary<String> values =
                Arbitraries.of(
                        "null",
                        "true",
                        "-1",
                        "99999999999",
                        "1e400",
                        "\"\"",
                        "\"a b\"",
                        "\"ok\"",
                        "[1,2]",
                        "[\"x\"]",
                        "{}",
                        "[null]",
                        "\"\\u0000\"");
        return names.flatMap(n -> values.map(v -> "\"" + n + "\":" + v))
                .list()
                .ofMaxSize(12)
                .map(fields -> "{" + String.join(",", fields) + "}");
    }

    private static void assertTakenOrRefused(byte[] bytes) {
        try {
            SubmitBody.parse(bytes).toSpec(TEAM, LIMITS);
        } catch (MasticweirException e) {
            assertEquals(Verdict.NOT_RUN, e.verdict());
            assertTrue(e.code() == ErrorCode.BAD_REQUEST, () -> e.code().name());
        }
    }
}
