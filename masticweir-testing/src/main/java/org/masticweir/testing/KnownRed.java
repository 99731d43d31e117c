package org.masticweir.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that {@code KNOWN-RED.txt} names, each as {@code class#method}, and over no
 * other; the reason shows in the report.
 */
public final class KnownRed implements ExecutionCondition {
    private static final String FILE = "KNOWN-RED.txt";

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        Optional<String> line =
                context.getTestMethod()
                        .map(m -> context.getRequiredTestClass().getName() + "#" + m.getName())
                        .flatMap(KnownRed::lineOf);
        return line.map(l -> ConditionEvaluationResult.disabled("known red: " + l))
                .orElse(ConditionEvaluationResult.enabled("not known red"));
    }

    private static Optional<String> lineOf(String test) {
        Path file = Path.of("").toAbsolutePath().getParent().resolve(FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(l -> l.startsWith(test + " ")).findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
