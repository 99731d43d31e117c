package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the head of a server's answer says of the request and the server; immutable.
 *
 * @param notRun whether the server says that it has not run the request and never will
 * @param wrongServer whether another server than the one that was meant has the address
 * @param request which request it answers
 * @param signed whether it bears the server's signature
 * @param present requests that the server runs and keeps waiting
 */
public record ServerWord(
        boolean notRun,
        boolean wrongServer,
        Optional<String> request,
        boolean signed,
        OptionalInt present) {
    public ServerWord {
        checkNotNull(request, "request");
        checkNotNull(present, "present");
    }
}
