package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.security.OperatorCredentials;

/** Decides who may use the operators' port; thread-safe. */
public final class OperatorAccess {
    /** Shown in logs where no operator is asked for a credential. */
    private static final String ANYBODY = "anybody";

    private final Optional<Supplier<OperatorCredentials>> credentials;

    private OperatorAccess(Optional<Supplier<OperatorCredentials>> credentials) {
        this.credentials = checkNotNull(credentials, "credentials");
    }

    /** Returns the access of a port that only operators reach. */
    public static OperatorAccess open() {
        return new OperatorAccess(Optional.empty());
    }

    /** Returns the access of those whose credential {@code credentials} holds at the time. */
    public static OperatorAccess requiring(Supplier<OperatorCredentials> credentials) {
        return new OperatorAccess(Optional.of(credentials));
    }

    /**
     * Returns the name of the operator who calls.
     *
     * @throws MasticweirException if the call shows no operator's credential
     */
    String operatorOf(HttpServerExchange exchange) {
        if (credentials.isEmpty()) {
            return ANYBODY;
        }
        String shown =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))
                        .orElse("");
        return credentials
                .get()
                .get()
                .operatorOf(shown)
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.UNAUTHORIZED,
                                        "the credential of an operator is missing or wrong"));
    }
}
