package org.masticweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.engine.Vendor;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.ModelId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/** What a deployment document may hold, and how each fault in one is told. */
class DeploymentDocumentTest {
    static final String GOOD =
            String.join(
                    "\n",
                    "[class.reports]",
                    "first_token_ms = 2000",
                    "total_ms = 600000 ; ten minutes",
                    "reliability = tokens",
                    "recovery = prompt",
                    "[team.advisers]",
                    "credential_sha256 = " + "ab".repeat(32),
                    "share = 40",
                    "[model.report]",
                    "kind = engine",
                    "version = 3",
                    "[model.letters]",
                    "kind = service",
                    "version = 1",
                    "[engines.north]",
                    "vendor = shares",
                    "checks_fencing = true",
                    "models = report",
                    "");

    private static List<String> problems(String text) {
        return DeploymentDocument.check("x.ini", text, 1).sentences();
    }

    private static List<String> problemsWith(String before, String after) {
        assertTrue(GOOD.contains(before));
        return problems(GOOD.replace(before, after));
    }

    /** Documents that are accepted. */
    @Nested
    class Valid {
        @Test
        void everyValueIsRead() {
            Deployment read = DeploymentDocument.parse("x.ini", GOOD, 7);
            assertEquals(7, read.revision());
            WorkClass reports = read.workClass(WorkClassId.of("reports")).orElseThrow();
            assertEquals(600_000, reports.totalMs());
            assertEquals(Reliability.TOKENS, reports.reliability());
            assertEquals(40, read.team(TeamId.of("advisers")).orElseThrow().share());
            assertEquals("", read.model(ModelId.of("report")).orElseThrow().adapter());
            EngineGroup north = read.group("north").orElseThrow();
            assertEquals(Vendor.SHARES, north.vendor());
            assertTrue(north.checksFencing());
            assertEquals(Set.of(ModelId.of("report")), north.models());
        }
    }

    /** Documents with one fault each. */
    @Nested
    class Invalid {
        @Test
        void sentenceNamesFileSectionKeyValueAndWhatIsAllowed() {
            assertEquals(
                    List.of(
                            "x.ini: [class.reports] first_token_ms = \"2s\" is not allowed; allowed:"
                                    + " a whole number of milliseconds from 1 to 86400000."),
                    problemsWith("first_token_ms = 2000", "first_token_ms = 2s"));
        }

        @Test
        void allProblemsAreTold() {
            MasticweirException e =
                    assertThrows(
                            MasticweirException.class,
                            () ->
                                    DeploymentDocument.parse(
                                            "x.ini",
                                            GOOD.replace("share = 40", "share = 0")
                                                    .replace("vendor = shares", "vendor = other"),
                                            1));
            assertEquals(ErrorCode.SETTINGS_INVALID, e.code());
            assertEquals(2, e.getMessage().lines().count());
        }

        @Test
        void wrongUnitInTheKeyIsAnUnknownKeyAndAMissingOne() {
            List<String> found = problemsWith("total_ms = 600000", "total_s = 600");
            assertEquals(2, found.size());
            assertTrue(found.get(0).contains("[class.reports] total_s = \"600\""));
            assertTrue(found.get(1).contains("[class.reports] total_ms is missing"));
        }

        @Test
        void unknownSectionOrBadName() {
            assertTrue(problems(GOOD + "[clazz.x]").get(0).contains("section [clazz.x]"));
            assertTrue(problems(GOOD + "[class.a b]").get(0).contains("a name of letters"));
        }

        @Test
        void duplicateSectionAndDuplicateKey() {
            assertTrue(problems(GOOD + "[engines.north]").get(0).contains("each section once"));
            List<String> twice = problemsWith("share = 40", "share = 40\nshare = 41");
            assertTrue(twice.get(0).contains("share = \"41\""));
        }

        @Test
        void groupThatNamesAnUndeclaredModel() {
            List<String> found = problemsWith("models = report", "models = report, planning");
            assertTrue(found.get(0).contains("names of [model.NAME] sections"), found.toString());
        }

        @Test
        void groupThatMixesEnginesAndServices() {
            List<String> found = problemsWith("models = report", "models = report, letters");
            assertTrue(found.get(0).contains("models of one kind"));
        }

        @Test
        void badModelListIsToldOnce() {
            assertEquals(1, problemsWith("models = report", "models = report, report").size());
        }

        @Test
        void totalBelowFirstToken() {
            assertTrue(problemsWith("600000", "1999").get(0).contains("at least first_token_ms"));
        }

        @Test
        void emptyTextAndTextPastTheBounds() {
            assertEquals(4, problems("").size());
            assertFalse(problems("#".repeat(DeploymentDocument.MAX_CHARS + 1)).isEmpty());
            StringBuilder many = new StringBuilder();
            for (int i = 0; i <= DeploymentDocument.MAX_SECTIONS; i++) {
                many.append("[team.t").append(i).append("]\n");
            }
            assertTrue(problems(many.toString()).get(0).contains("10001 sections"));
        }

        @Test
        void environmentIsNotExpanded() {
            assertTrue(problemsWith("version = 3", "version = ${env:HOME}").get(0).contains("${"));
        }
    }

    /** What differs between two documents. */
    @Nested
    class Diff {
        private String diff(String after) {
            return DeploymentDiff.between(
                            DeploymentDocument.parse("a", GOOD, 1),
                            DeploymentDocument.parse("b", after, 2))
                    .text();
        }

        @Test
        void sameDeploymentHasNone() {
            assertEquals("", diff(GOOD + "# a comment"));
        }

        @Test
        void changedAddedAndRemovedKeys() {
            assertEquals("~ [team.advisers] share = 40 -> 41", diff(GOOD.replace("40", "41")));
            String adapter = GOOD.replace("version = 3", "version = 3\nadapter = dutch");
            assertEquals("+ [model.report] adapter = dutch", diff(adapter));
            String fewer = GOOD.replace("[model.letters]\nkind = service\nversion = 1\n", "");
            assertEquals(
                    "- [model.letters] kind = service\n- [model.letters] version = 1", diff(fewer));
        }
    }
}
