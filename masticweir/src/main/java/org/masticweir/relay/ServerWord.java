package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticweir.permits.LimitWord;

/**
 * What the head of a server's answer says of the request and the server; immutable.
 *
 * @param notRun whether the server says that it has not run the request and never will
 * @param wrongServer whether another server than the one that was meant has the address
 * @param request which request it answers
 * @param signed whether it bears the server's signature
 * @param present requests that the server runs and keeps waiting
 * @param limit how many requests it takes
 * @param leaving whether it ends soon and wants no more requests
 * @param pauseMs how long it wants no requests of this router
 */
public record ServerWord(
        boolean notRun,
        boolean wrongServer,
        Optional<String> request,
        boolean signed,
        OptionalInt present,
        LimitWord limit,
        boolean leaving,
        OptionalLong pauseMs) {
    public ServerWord {
        checkNotNull(request, "request");
        checkNotNull(present, "present");
        checkNotNull(limit, "limit");
        checkNotNull(pauseMs, "pauseMs");
    }
}
