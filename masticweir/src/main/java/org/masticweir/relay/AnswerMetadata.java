package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticweir.permits.AnnouncedLimit;

/**
 * Metadata from the headers of a server's answer about the request and the server; immutable.
 *
 * @param isNotRun whether the server states that it has not run the request and will not run it
 * @param isWrongServer whether the address belongs to a server other than the intended one
 * @param requestId id of the answered request
 * @param isSigned whether the answer has the server's signature
 * @param requestCount requests that are running or queued at the server
 * @param limit request rate that the server accepts
 * @param rejections rejections a second that the server bears before it fails, if it is brittle
 * @param isLeaving whether the server will stop soon and accepts no more requests
 * @param pauseMs time for which this router must not send requests to the server
 */
public record AnswerMetadata(
        boolean isNotRun,
        boolean isWrongServer,
        Optional<String> requestId,
        boolean isSigned,
        OptionalInt requestCount,
        AnnouncedLimit limit,
        AnnouncedLimit rejections,
        boolean isLeaving,
        OptionalLong pauseMs) {
    public AnswerMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(requestCount, "requestCount");
        checkNotNull(limit, "limit");
        checkNotNull(rejections, "rejections");
        checkNotNull(pauseMs, "pauseMs");
    }

    /** Returns whether the answer is a refusal, whose body is not passed on. */
    public boolean isRefusal() {
        return isNotRun || isWrongServer;
    }
}
