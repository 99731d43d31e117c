package org.masticweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The example documents are valid, and the credentials are those that their comment tells. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"spaarstraal.ini, 4", "tubercolo.ini, 3"})
    void exampleIsValid(String name, int classes) throws IOException {
        Deployment read =
                DeploymentDocument.parse(name, Files.readString(EXAMPLES.resolve(name)), 1);
        assertEquals(classes, read.classes().size());
        assertEquals(10, read.teams().size());
        assertEquals(3, read.models().size());
        for (Team team : read.teams().values()) {
            String credential = team.id() + "-secret";
            assertEquals(
                    Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString(),
                    team.credentialSha256());
        }
    }
}
