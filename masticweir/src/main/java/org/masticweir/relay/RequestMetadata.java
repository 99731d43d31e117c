package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.forward.RequestSize;
import org.masticweir.id.PromptId;

/**
 * What a caller's request states besides method, path and body; immutable.
 *
 * @param requestId the caller's id of this attempt
 * @param timeoutMs how long the caller waits
 * @param teamKey the team's key
 * @param size estimated cost of the request for an engine
 * @param prompt the part of its prompt that no other caller's request shares
 * @param lastEventId last event that the caller already has
 */
public record RequestMetadata(
        String requestId,
        OptionalLong timeoutMs,
        Optional<String> teamKey,
        RequestSize size,
        Optional<PromptId> prompt,
        OptionalLong lastEventId) {
    public RequestMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(timeoutMs, "timeoutMs");
        checkNotNull(teamKey, "teamKey");
        checkNotNull(size, "size");
        checkNotNull(prompt, "prompt");
        checkNotNull(lastEventId, "lastEventId");
    }
}
