package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticweir.permits.AnnouncedLimit;

/**
 * What the head of a server's answer states about the request and the server; immutable.
 *
 * @param isNotRun whether the server has not run the request and never will
 * @param isWrongServer whether another server than the intended one has the address
 * @param requestId id of the request that it answers
 * @param isSigned whether it has the server's signature
 * @param requestCount requests that are running or queued at the server
 * @param limit request rate that the server accepts
 * @param isLeaving whether the server ends soon and accepts no more requests
 * @param pauseMs how long this router must not send requests to the server
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
