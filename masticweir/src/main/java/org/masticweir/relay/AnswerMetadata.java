package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticweir.permits.AnnouncedLimit;

/**
 * What the head of a server's answer says of the request and the server; immutable.
 *
 * @param isNotRun whether the server says that it has not run the request and never will
 * @param isWrongServer whether another server than the one that was meant has the address
 * @param requestId which request it answers
 * @param isSigned whether it bears the server's signature
 * @param requestCount requests that the server runs and keeps waiting
 * @param limit how many requests it takes
 * @param isLeaving whether it ends soon and wants no more requests
 * @param pauseMs how long it wants no requests of this router
 */
public record AnswerMetadata(
        boolean isNotRun,
        boolean isWrongServer,
        Optional<String> requestId,
        boolean isSigned,
        OptionalInt requestCount,
        AnnouncedLimit limit,
        boolean isLeaving,
        OptionalLong pauseMs) {
    public AnswerMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(requestCount, "requestCount");
        checkNotNull(limit, "limit");
        checkNotNull(pauseMs, "pauseMs");
    }
}
