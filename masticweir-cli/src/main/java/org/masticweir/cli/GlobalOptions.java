package org.masticweir.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.IValueValidator;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.masticweir.settings.ValueRule;

/** The options that every command takes, before or after its name; one instance a run. */
final class GlobalOptions {
    private static final ValueRule<InetSocketAddress> ADDRESS = ValueRule.address();
    private static final int DEFAULT_TIMEOUT_MS = 10_000;

    /** Longest wait that may be asked for: no command waits without end. */
    static final int MAX_TIMEOUT_MS = 600_000;

    @Parameter(
            names = "--router",
            description = "Operator address of a router, ip:port",
            validateWith = AddressCheck.class)
    private String router = "127.0.0.1:7081";

    @Parameter(
            names = "--timeout-ms",
            description = "Longest wait for each answer, in milliseconds",
            validateValueWith = TimeoutRange.class)
    private Integer timeoutMs = DEFAULT_TIMEOUT_MS;

    @Parameter(
            names = "--credential-file",
            description = "File whose first line is the operator's credential")
    private String credentialFile = "";

    @Parameter(
            names = "--trust-file",
            description = "PEM file of the certificates to trust; calls the router by TLS")
    private String trustFile = "";

    @Parameter(names = "--json", description = "Print the raw JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    InetSocketAddress router() {
        return ADDRESS.parse(router).orElseThrow();
    }

    int timeoutMs() {
        return timeoutMs;
    }

    /** Returns the file of the operator's credential; empty if none is shown. */
    Optional<Path> credentialFile() {
        return path(credentialFile);
    }

    /** Returns the file of the certificates to trust; empty for calls without TLS. */
    Optional<Path> trustFile() {
        return path(trustFile);
    }

    private static Optional<Path> path(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text));
    }

    boolean json() {
        return json;
    }

    boolean help() {
        return help;
    }

    /** Takes an IP address and port only; public since JCommander makes it by reflection. */
    public static final class AddressCheck implements IParameterValidator {
        @Override
        public void validate(String name, String value) {
            if (ADDRESS.parse(value).isEmpty()) {
                throw new ParameterException(
                        name + " " + value + "; allowed: " + ADDRESS.allowed());
            }
        }
    }

    /** Bounds the wait; public since JCommander makes it by reflection. */
    public static final class TimeoutRange implements IValueValidator<Integer> {
        @Override
        public void validate(String name, Integer value) {
            if (value < 1 || value > MAX_TIMEOUT_MS) {
                throw new ParameterException(
                        name + " " + value + "; allowed: 1 to " + MAX_TIMEOUT_MS);
            }
        }
    }
}
