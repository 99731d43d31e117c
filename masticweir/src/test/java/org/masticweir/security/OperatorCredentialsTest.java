package org.masticweir.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Operators and their credentials, as a file names them. */
final class OperatorCredentialsTest {
    private static String line(String name, String credential) {
        return name + " = " + Hashing.sha256().hashString(credential, StandardCharsets.UTF_8);
    }

    @Test
    void eachCredentialIsItsOperators() {
        String text = "# on call\n\n" + line("anna", "a-secret") + "\n" + line("bo", "b-secret");
        OperatorCredentials credentials = OperatorCredentials.parse(text);
        assertEquals(Optional.of("anna"), credentials.operatorOf("Bearer a-secret"));
        assertEquals(Optional.of("bo"), credentials.operatorOf("Bearer b-secret"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer ", "Bearer b", "a-secret", "Basic a-secret", "Bearer anna"})
    void anythingElseIsNobodys(String shown) {
        OperatorCredentials credentials = OperatorCredentials.parse(line("anna", "a-secret"));
        assertEquals(Optional.empty(), credentials.operatorOf(shown));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "# nobody", "anna", "anna = 12", "a b = 12", "= 12"})
    void textThatIsNotValidIsRefusedWithoutShowingIt(String text) {
        IllegalArgumentException refused =
                assertThrows(IllegalArgumentException.class, () -> OperatorCredentials.parse(text));
        assertFalse(refused.getMessage().contains("12"), refused.getMessage());
    }

    @Test
    void oneNameTwiceIsRefused() {
        String twice = line("anna", "a") + "\n" + line("anna", "b");
        assertThrows(IllegalArgumentException.class, () -> OperatorCredentials.parse(twice));
    }
}
